import { test } from 'node:test'
import { expect } from 'earl'
import { Cell } from './Cell.js'
import { findViolations, readTasks } from './invariants.js'

/**
 * Every fault at every step of a task's path, singly and in pairs.
 */

const STEPS = ['submit', 'claim', 'placed', 'done', 'pending', 'failed', 'cancel job', 'cancelling', 'cancelled', 'close', 'read', 'list', 'report', 'start', 'renew', 'stop'] as const

type Step = typeof STEPS[number]

const FAULTS = ['death before', 'death after', 'pause before', 'pause after', 'answer lost', 'late'] as const

type Fault = typeof FAULTS[number]

interface Injection {
  step: Step
  fault: Fault
  /** Which time that the step is taken, from 1. */
  occurrence: number
}

const PAUSE_MS = 2500
const RUN_TIMEOUT_MS = 40_000

interface Outcome {
  problems: string[]
  injected: number
}

async function run (injections: Injection[], seed: number): Promise<Outcome> {
  const cell = new Cell({ seed, nodes: 3, workers: 3 })
  let injected = 0
  for (const injection of injections) install(cell, injection, () => { injected++ })
  submit(cell, 'b', 'batch', 'audio', ['run 400', 'run 500'])
  submit(cell, 'g', 'gang', 'ledger', ['run 400', 'run 450', 'run 500'])
  submit(cell, 'f', 'batch', 'audio', ['fail 20'])
  submit(cell, 's', 'service', 'desk', ['serve'])
  cell.clock.schedule(1500, () => { cancel(cell, 's') })
  const problems = new Set<string>()
  for (let waited = 0; waited < RUN_TIMEOUT_MS; waited += 100) {
    await cell.clock.advance(100)
    for (const breach of findViolations(cell)) problems.add(breach)
    if (waited > 3000 && cell.table.peek('open/').length === 0 && cell.table.peek('job/').length === 4) break
  }
  for (const problem of findWrongEndStates(cell)) problems.add(problem)
  for (const node of cell.nodes) node.gate.kill()
  return { problems: [...problems], injected }
}

function findWrongEndStates (cell: Cell): string[] {
  const expected: Record<string, string> = { b: 'done', g: 'done', f: 'failed', s: 'cancelled' }
  const wrong = readTasks(cell).filter(task => task.state !== expected[task.job]).map(task => `${task.job}/${task.index} is ${task.state}`)
  return [...wrong, ...cell.table.peek('open/').map(row => `${row.key} is left`), ...cell.table.peek('on/').map(row => `${row.key} is left`)]
}

/** Puts one fault into the first node that takes the step. */
function install (cell: Cell, injection: Injection, onInjected: () => void): void {
  let left = injection.occurrence
  const add = cell.addNode.bind(cell)
  const arm = (member: ReturnType<Cell['addNode']>): ReturnType<Cell['addNode']> => {
    const inner = member.gate.inject
    member.gate.inject = (step, moment) => {
      const other = inner(step, moment)
      if (step !== injection.step || moment !== injectionMoment(injection.fault) || left <= 0) return other
      if (--left > 0) return other
      onInjected()
      return applyFault(cell, member.id, injection.fault)
    }
    return member
  }
  cell.addNode = () => arm(add())
  for (const member of cell.nodes) arm(member)
}

function injectionMoment (fault: Fault): 'before' | 'after' {
  return fault.endsWith('after') || fault === 'answer lost' ? 'after' : 'before'
}

function applyFault (cell: Cell, node: string, fault: Fault): 'lost' | 'late' | null {
  if (fault === 'answer lost') return 'lost'
  if (fault === 'late') return 'late'
  if (fault.startsWith('death')) cell.kill(node)
  else cell.pause(node, PAUSE_MS)
  return null
}

function submit (cell: Cell, id: string, kind: string, name: string, commands: string[]): void {
  const again = (): void => { cell.clock.schedule(200, () => { submit(cell, id, kind, name, commands) }) }
  const user = cell.clock.schedule(4000, again)
  cell.random.pick(cell.nodes).jobs.submit({ id, kind, class: name, tasks: commands.map(command => ({ command })) }).then(result => {
    user.cancel()
    if (result.isErr()) again()
  }, again)
}

function cancel (cell: Cell, id: string): void {
  const again = (): void => { cell.clock.schedule(200, () => { cancel(cell, id) }) }
  const user = cell.clock.schedule(4000, again)
  cell.random.pick(cell.nodes).jobs.cancel(id).then(result => {
    user.cancel()
    if (result.isErr() || result.value === null) again()
  }, again)
}

for (const step of STEPS) {
  test(`every fault at step ${step} leaves tasks whole`, async () => {
    const failures: string[] = []
    let injected = 0
    for (const fault of FAULTS) {
      for (const occurrence of [1, 2, 3]) {
        const outcome = await run([{ step, fault, occurrence }], occurrence)
        injected += outcome.injected
        failures.push(...outcome.problems.map(problem => `${fault} at ${step} ${occurrence}: ${problem}`))
      }
    }
    expect(failures).toEqual([])
    expect(injected).toBeGreaterThan(FAULTS.length - 1)
  })
}

const PAIR_GROUPS = 4
const PAIRS_PER_GROUP = 30

for (let group = 0; group < PAIR_GROUPS; group++) {
  test(`pairs of faults leave tasks whole, group ${group}`, async () => {
    const failures: string[] = []
    for (let number = 0; number < PAIRS_PER_GROUP; number++) {
      const seed = 1000 + group * PAIRS_PER_GROUP + number
      const pair = choosePair(seed)
      const outcome = await run(pair, seed)
      failures.push(...outcome.problems.map(problem => `seed ${seed} ${JSON.stringify(pair)}: ${problem}`))
    }
    expect(failures).toEqual([])
  })
}

function choosePair (seed: number): Injection[] {
  const { random } = new Cell({ seed, nodes: 0, workers: 0 })
  const choose = (): Injection => ({ step: random.pick(STEPS), fault: random.pick(FAULTS), occurrence: 1 + random.integer(3) })
  return [choose(), choose()]
}
