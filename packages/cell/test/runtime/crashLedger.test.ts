import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { MemoryLog } from '@rattanstep/telemetry'
import { incarnationTag, judgeCrashes } from '../../src/runtime/CrashBudget.js'
import { CrashLedger } from '../../src/runtime/CrashLedger.js'
import { Registry } from '../../src/runtime/Registry.js'
import type { Crash, CrashCertainty, Task, WorkerState } from '../../src/runtime/model.js'
import { stepOf } from '../support/CellRig.js'

const BORN = 1_764_918_602_123
const LATER = BORN + 5000

/** @returns crashes: `c`, `p` and `o` for confirmed, presumed and possible ones, in upper case if the task's job was alone on the worker */
function crashesOf (text: string): Crash[] {
  const certainties: Record<string, CrashCertainty> = { c: 'confirmed', p: 'presumed', o: 'possible' }
  return [...text].map((letter, index) => ({ worker: `w${index}`, incarnation: 1, run: index + 1, certainty: certainties[letter.toLowerCase()]!, isAlone: letter !== letter.toLowerCase() }))
}

describe('the verdict on a task', () => {
  for (const [crashes, verdict] of [
    ['', 'clear'], ['OOOOO', 'clear'], ['C', 'suspect'], ['c', 'suspect'], ['P', 'suspect'], ['CO', 'suspect'], ['cc', 'suspect'], ['CP', 'suspect'], ['PP', 'suspect'], ['ccc', 'suspect'], ['ppp', 'suspect'], ['cC', 'suspect'], ['Cc', 'suspect'], ['ppP', 'suspect'], ['Ccc', 'suspect'],
    ['CC', 'exhausted'], ['cCC', 'exhausted'], ['PPP', 'exhausted'], ['pPP', 'exhausted'], ['CcP', 'exhausted'], ['cccc', 'exhausted'], ['cppc', 'exhausted'], ['COOC', 'exhausted']
  ] as const) {
    test(`with the crashes ${crashes === '' ? 'none' : crashes} is ${verdict}`, () => {
      expect(judgeCrashes(crashesOf(crashes))).toEqual(verdict)
    })
  }
})

/** @returns a ledger, a worker with running tasks of as many jobs as there are names, and the number of changes it has reported */
function createLedger (jobs = ['a']): { ledger: CrashLedger, worker: WorkerState, tasks: Task[], changes: Task[], registry: Registry } {
  const registry = new Registry()
  const changes: Task[] = []
  const ledger = new CrashLedger({ log: new MemoryLog(), clock: new FakeClock(), registry, onChange: task => { changes.push(task) } })
  const worker = registry.ensureWorker({ id: 'w0', service: 's', address: 'w0:1', dataCentre: 'd', state: 'ready', capacity: { cpu: 9000, memory: 9000, accelerators: 0 }, labels: [], born: BORN })
  worker.hasAnswered = true
  const tasks = jobs.map(id => registry.addJob({ id, route: 'r', spec: '', steps: [stepOf({})], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 }).occurrences[0]!.steps[0]!.tasks.at(0)!)
  for (const task of tasks) {
    Object.assign(task, { phase: 'running', run: 1, begunRun: 1, incarnation: incarnationTag(BORN) })
    registry.assign(task, worker)
  }
  return { ledger, worker, tasks, changes, registry }
}

function certainties ({ crashes }: Task): CrashCertainty[] {
  return crashes.map(crash => crash.certainty)
}

describe('the crash of a worker', () => {
  for (const phase of ['ordered', 'running', 'stopping', 'assumed'] as const) {
    test(`is attributed to a task that is ${phase}`, () => {
      const { ledger, worker, tasks } = createLedger()
      tasks[0]!.phase = phase
      ledger.charge(worker, tasks, 'confirmed')
      expect(tasks[0]!.crashes).toEqual([{ worker: 'w0', incarnation: incarnationTag(BORN), run: 1, certainty: 'confirmed', isAlone: true }])
    })
  }

  // Guards against a job that is given up although none of its runs was started: its placements were on record, its deciders and workers were lost.
  for (const phase of ['ordered', 'stopping', 'assumed'] as const) {
    test(`is not attributed to a task that is ${phase} if nothing shows that its order was sent`, () => {
      const { ledger, worker, tasks } = createLedger()
      Object.assign(tasks[0]!, { phase, begunRun: 0 })
      ledger.charge(worker, tasks, 'confirmed')
      expect(tasks[0]!.crashes).toEqual([])
    })
  }

  for (const phase of ['placed', 'done'] as const) {
    test(`is not attributed to a task that is ${phase}`, () => {
      const { ledger, worker, tasks } = createLedger()
      tasks[0]!.phase = phase
      ledger.charge(worker, tasks, 'confirmed')
      expect(tasks[0]!.crashes).toEqual([])
    })
  }

  test('is attributed once to a run, however often it is noticed', () => {
    const { ledger, worker, tasks } = createLedger()
    ledger.charge(worker, tasks, 'confirmed')
    ledger.charge(worker, tasks, 'confirmed')
    expect(certainties(tasks[0]!)).toEqual(['confirmed'])
  })

  test('is not held against a single task if tasks of several jobs or unknown runs were on the worker', () => {
    const several = createLedger(['a', 'b'])
    several.ledger.charge(several.worker, several.tasks, 'confirmed')
    const unknown = createLedger()
    unknown.worker.unknownRuns = 1
    unknown.ledger.charge(unknown.worker, unknown.tasks, 'confirmed')
    expect([...several.tasks, ...unknown.tasks].map(task => task.crashes.map(crash => crash.isAlone))).toEqual([[false], [false], [false]])
  })

  test('is not attributed to any task if the incarnation had announced a planned stop', () => {
    const { ledger, worker, tasks } = createLedger()
    worker.leavingIncarnation = incarnationTag(BORN)
    ledger.charge(worker, tasks, 'confirmed')
    expect(tasks[0]!.crashes).toEqual([])
  })

  test('is presumed once the entry of a silent worker has expired, and taken back when the same incarnation answers', () => {
    const { ledger, worker, tasks } = createLedger()
    ledger.charge(worker, tasks, 'possible')
    ledger.noteGone('w0', false)
    expect(certainties(tasks[0]!)).toEqual(['presumed'])
    ledger.noteIncarnation('w0', BORN)
    expect(certainties(tasks[0]!)).toEqual([])
  })

  test('is proven by another incarnation, by another worker that answers at the address, and by the entry of one', () => {
    for (const prove of [
      (ledger: CrashLedger): void => { ledger.noteIncarnation('w0', LATER) },
      (ledger: CrashLedger): void => { ledger.noteReplaced('w0') },
      (ledger: CrashLedger): void => { ledger.noteListed({ id: 'w9', address: 'w0:1' }) }
    ]) {
      const { ledger, worker, tasks, changes } = createLedger()
      ledger.charge(worker, tasks, 'presumed')
      prove(ledger)
      expect([certainties(tasks[0]!), changes.length]).toEqual([['confirmed'], 2])
    }
  })

  test('is corrected after a takeover as before it', () => {
    const { ledger, tasks } = createLedger()
    tasks[0]!.crashes = [{ worker: 'w0', incarnation: incarnationTag(BORN), run: 1, certainty: 'presumed', isAlone: true }]
    ledger.restore(tasks[0]!)
    ledger.noteIncarnation('w0', BORN)
    expect(tasks[0]!.crashes).toEqual([])
  })

  test('is not attributed if a worker that announced a planned stop leaves the list', () => {
    const { ledger, worker, tasks } = createLedger()
    ledger.charge(worker, tasks, 'possible')
    ledger.noteGone('w0', true)
    expect(tasks[0]!.crashes).toEqual([])
  })
})

/** @returns a ledger and the workers of a rack, each with a running task of the jobs named for it, separated by blanks */
function createRack (jobsByWorker: string[]): { ledger: CrashLedger, clock: FakeClock, workers: WorkerState[], tasksOf: (job: string) => Task[] } {
  const registry = new Registry()
  const clock = new FakeClock()
  const ledger = new CrashLedger({ log: new MemoryLog(), clock, registry, onChange: () => {} })
  const workers = jobsByWorker.map((names, index) => {
    const worker = registry.ensureWorker({ id: `w${index}`, service: 's', address: `w${index}:1`, dataCentre: 'd', state: 'ready', capacity: { cpu: 9000, memory: 9000, accelerators: 0 }, labels: ['ssd', 'r1-3'], born: BORN })
    worker.hasAnswered = true
    for (const id of names.split(' ').filter(name => name !== '')) {
      const task = registry.addJob({ id, route: 'r', spec: '', steps: [stepOf({ count: jobsByWorker.length })], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 }).occurrences[0]!.steps[0]!.tasks.at(index)!
      Object.assign(task, { phase: 'running', run: 1, begunRun: 1, incarnation: incarnationTag(BORN) })
      registry.assign(task, worker)
    }
    return worker
  })
  return { ledger, clock, workers, tasksOf: job => [...registry.jobs.get(job)!.occurrences[0]!.steps[0]!.tasks] }
}

describe('the loss of several workers of a rack', () => {
  for (const [title, jobs, lost, gap, expected] of [
    ['of all at once is no task\'s fault', ['a', 'b', '', ''], 4, 100, [['excused'], ['excused']]],
    ['of most at once is no task\'s fault', ['a', 'b', '', ''], 3, 100, [['excused'], ['excused']]],
    ['of a few counts for the tasks', ['a', 'b', '', ''], 2, 100, [['confirmed'], ['confirmed']]],
    ['of one after the other counts for the tasks', ['a', 'b', '', ''], 4, 2500, [['confirmed'], ['confirmed']]],
    ['counts for a job that ran on all of them, and not for the others', ['a b', 'a', 'a'], 3, 100, [['confirmed'], ['excused']]]
  ] as Array<[string, string[], number, number, CrashCertainty[][]]>) {
    for (const isLate of [false, true]) {
      test(`${title}${isLate ? ', also if it is noticed after the crashes were attributed' : ''}`, async () => {
        const { ledger, clock, workers, tasksOf } = createRack(jobs)
        const charge = (worker: WorkerState): void => { ledger.charge(worker, [...worker.tasks.values()], 'confirmed') }
        for (const worker of workers.slice(0, lost)) {
          ledger.noteLost(worker)
          if (isLate) charge(worker)
          await clock.advance(gap)
        }
        if (!isLate) workers.slice(0, lost).forEach(charge)
        expect(['a', 'b'].map(job => tasksOf(job).flatMap(certainties).slice(0, 1))).toEqual(expected)
      })
    }
  }

  test('is excused once for a task, and proves nothing after that', async () => {
    const { ledger, clock, workers, tasksOf } = createRack(['a', 'b'])
    for (let run = 1; run <= 3; run++) {
      for (const worker of workers) Object.assign(worker, { isLossNoted: false })
      for (const worker of workers) ledger.noteLost(worker)
      for (const worker of workers) {
        for (const task of worker.tasks.values()) Object.assign(task, { run, begunRun: run })
        ledger.charge(worker, [...worker.tasks.values()], 'confirmed')
      }
      await clock.advance(10_000)
    }
    const [task] = tasksOf('a')
    expect([certainties(task!), task!.crashes.map(crash => crash.isAlone), judgeCrashes(task!.crashes)]).toEqual([['excused', 'confirmed', 'confirmed'], [false, false, false], 'suspect'])
  })
})
