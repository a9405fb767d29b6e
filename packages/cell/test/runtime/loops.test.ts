import { describe, test } from 'node:test'
import { expect } from 'earl'
import { Ok } from 'ts-results-es'
import { FakeClock } from '@rattanstep/core'
import { SilentLog } from '@rattanstep/telemetry'
import type { WorkerList } from '../../src/index.js'
import { AdviceScheduler } from '../../src/runtime/AdviceScheduler.js'
import { Registry } from '../../src/runtime/Registry.js'
import { StepAdvisor } from '../../src/runtime/StepAdvisor.js'
import { submissionRowName } from '../../src/runtime/rowNames.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'
import { failOnce } from '../support/failOnce.js'
import type { FailureKind } from '../support/failOnce.js'

/** Time in which a call that hangs is given up and everything that waits for it goes on. */
const RECOVERY_MS = 30_000
const FAILURE_KINDS: FailureKind[] = ['throw', 'hang']

async function expectCompletion (rig: CellRig, ids: string[]): Promise<void> {
  await rig.run(RECOVERY_MS)
  expect(await rig.phases(ids)).toEqual(ids.map(() => 'completed'))
  expect(rig.fleet.violations).toEqual([])
}

/** Writes the row of a job as a node does that dies before it tells the decider. */
function putSubmission (rig: CellRig, id: string, steps: unknown = [stepOf({})]): void {
  rig.tables.put(submissionRowName(id), JSON.stringify({ id, route: 'r', spec: 'x', steps, acceptedAt: 1 }))
}

// Guards against background loops that end for good after one fault, while everything else goes on and the cell seems healthy.
for (const kind of FAILURE_KINDS) {
  describe(`after one call of a background loop that fails (${kind})`, () => {
    test('the decider commits and places tasks again', async () => {
      const rig = await createSteadyRig({ nodes: 1 })
      const hasFailed = failOnce(rig.decider!.store, 'commit', kind, ({ puts }) => puts.some(({ table }) => table === 'tasks'))
      const { id } = await rig.submit(rig.nodes[0]!, [{ count: 3 }])
      await rig.until(hasFailed)
      await expectCompletion(rig, [id])
    })

    test('a worker is polled again', async () => {
      const rig = await createSteadyRig({ nodes: 1, workers: 1 })
      const { id } = await rig.submit(rig.nodes[0]!, [{ count: 3 }])
      await rig.until(failOnce(rig.nodes[0]!.workers, 'poll', kind))
      await expectCompletion(rig, [id])
    })

    test('a task whose start has no outcome is started again', async () => {
      const rig = await createSteadyRig({ nodes: 1 })
      const hasFailed = failOnce(rig.nodes[0]!.workers, 'start', kind)
      const { id } = await rig.submit(rig.nodes[0]!, [{ count: 3 }])
      await rig.until(hasFailed)
      await expectCompletion(rig, [id])
    })

    test('a stop is ordered again', async () => {
      const rig = await createSteadyRig({ nodes: 1, behaviour: () => ({ duration: 60_000, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } }) })
      const { id } = await rig.submit(rig.nodes[0]!, [{ count: 1 }])
      await rig.until(() => rig.fleet.starts.size === 1)
      const hasFailed = failOnce(rig.nodes[0]!.workers, 'stop', kind)
      rig.nodes[0]!.cell.gateway.cancel(id, rig.clock.now() + 2000).catch(() => {})
      await rig.until(hasFailed)
      await rig.run(RECOVERY_MS)
      expect([...rig.fleet.workers.values()].map(({ running }) => running.size)).toEqual([0, 0, 0, 0])
    })

    test('submissions that were not announced are found', async () => {
      const rig = await createSteadyRig({ nodes: 1 })
      await rig.until(failOnce(rig.nodes[0]!.store, 'changes', kind, ({ table }) => table === 'jobs'))
      putSubmission(rig, 'a'.repeat(16))
      await expectCompletion(rig, ['a'.repeat(16)])
    })

    test('new workers are found', async () => {
      const rig = await createSteadyRig({ nodes: 1, workers: 0 })
      await rig.until(failOnce(rig.nodes[0]!.store, 'changes', kind, ({ table }) => table === 'servers'))
      rig.addWorker('w0')
      const { id } = await rig.submit(rig.nodes[0]!, [{}])
      await expectCompletion(rig, [id])
    })

    test('a new configuration is found', async () => {
      const rig = await createSteadyRig({ nodes: 1 })
      await rig.until(failOnce(rig.nodes[0]!.store, 'changes', kind, ({ table }) => table === 'op'))
      rig.configure(2)
      await rig.run(RECOVERY_MS)
      expect(rig.nodes[0]!.cell.configuration?.version).toEqual(2)
    })

    test('the submissions of jobs that have ended are replaced', async () => {
      const rig = await createSteadyRig({ nodes: 1 })
      const hasFailed = failOnce(rig.nodes[0]!.store, 'commit', kind, ({ deletes }) => (deletes?.length ?? 0) > 0)
      const { id } = await rig.submit(rig.nodes[0]!, [{}])
      await rig.until(hasFailed)
      await rig.run(RECOVERY_MS)
      expect([...rig.tables.rows.values()].filter(({ table, key }) => table === 'jobs' && key === id).length).toEqual(0)
    })

    test('a node seeks the decider again', async () => {
      const rig = await createSteadyRig()
      const follower = rig.nodes.find(node => node !== rig.decider)!
      const hasFailed = failOnce(follower.store, 'range', kind, ({ table }) => table === 'term')
      for (const link of follower.endpoint.links) link.close()
      rig.kill(rig.decider!)
      await rig.until(hasFailed)
      for (const node of rig.nodes) if (node !== follower && !node.clock.isDead) rig.kill(node)
      await rig.run(RECOVERY_MS)
      expect(rig.decider?.name).toEqual(follower.name)
    })
  })
}

describe('a call for advice', () => {
  test('that never ends is given up', async () => {
    const clock = new FakeClock({ start: 1000 })
    const registry = new Registry()
    const worker = registry.ensureWorker({ id: 'w0', service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 9000, memory: 9000, accelerators: 0 }, labels: [], born: 1 })
    const step = registry.addJob({ id: 'a', route: 'r', spec: '', steps: [stepOf({})], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 }).occurrences[0]!.steps[0]!
    const route = { name: 'r', service: 's', priority: 0, maxAttempts: 1, stretch: 1, latencyObjective: 0 }
    const advisor = new StepAdvisor({ scheduler: new AdviceScheduler(), clock, log: new SilentLog(), ask: async () => await new Promise<never>(() => {}), onChange: () => {} })
    advisor.advise({ step, route, workers: [worker], node: 'n0', cost: 100 }).catch(() => {})
    expect(step.askedWorkers.size).toEqual(1)
    await clock.advance(RECOVERY_MS)
    expect(step.askedWorkers.size).toEqual(0)
  })

  test('that throws is repeated, and the step is placed', async () => {
    let hasFailed = false
    const rig = await createSteadyRig({
      nodes: 1,
      route: { advice: { base: 5, perWorker: 0, validity: 1500 } },
      allows: () => {
        if (hasFailed) return true
        hasFailed = true
        throw new Error('the answer is malformed')
      }
    })
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    await expectCompletion(rig, [id])
  })
})

describe('an undecodable row', () => {
  // Each of them made a loop throw at every attempt, or a new decider that never became ready.
  const malformedSteps: Array<[string, unknown]> = [['no step', [null]], ['no size', [{ ...stepOf({}), size: undefined }]], ['no list of earlier steps', [{ ...stepOf({}), after: undefined }]], ['no count', [{ ...stepOf({}), count: 'x' }]]]
  for (const [name, steps] of malformedSteps) {
    test(`with ${name} keeps no other submission from its decider, nor from the next one`, async () => {
      const rig = await createSteadyRig()
      putSubmission(rig, '0'.repeat(16), steps)
      putSubmission(rig, 'a'.repeat(16))
      await rig.run(2000)
      rig.kill(rig.decider!)
      putSubmission(rig, 'b'.repeat(16))
      await expectCompletion(rig, ['a'.repeat(16), 'b'.repeat(16)])
    })
  }

  test('of a job\'s record keeps no new decider from deciding', async () => {
    const rig = await createSteadyRig()
    putSubmission(rig, '0'.repeat(16))
    rig.tables.put({ table: 'tasks', part: 'd', key: '0'.repeat(16) }, '{"phase":"open","tasks":[[5]]}')
    rig.kill(rig.decider!)
    putSubmission(rig, 'a'.repeat(16))
    await expectCompletion(rig, ['a'.repeat(16)])
  })

  test('of a worker keeps no other worker from being found', async () => {
    const rig = await createSteadyRig({ nodes: 1, workers: 0 })
    rig.tables.put({ table: 'servers', part: '', key: 'w0' }, 'null')
    await rig.run(1500)
    rig.addWorker('w1')
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    await expectCompletion(rig, [id])
  })

  test('of the configuration keeps no later version from being found', async () => {
    const rig = await createSteadyRig({ nodes: 1 })
    rig.tables.put({ table: 'op', part: '', key: 'config' }, '{')
    await rig.run(1500)
    rig.configure(2)
    await rig.run(1500)
    expect(rig.nodes[0]!.cell.configuration?.version).toEqual(2)
  })

  test('in place of a list of runs keeps the worker from nothing', async () => {
    const rig = await createSteadyRig({ nodes: 1, workers: 1 })
    const { workers } = rig.nodes[0]!
    const poll = workers.poll.bind(workers)
    let isAnswered = false
    workers.poll = async (worker, order) => {
      if (isAnswered) return await poll(worker, order)
      isAnswered = true
      return Ok({ clock: 1, born: 1 } as unknown as WorkerList)
    }
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    await expectCompletion(rig, [id])
  })
})
