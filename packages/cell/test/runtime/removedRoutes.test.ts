import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { Route } from '../../src/index.js'
import { Registry } from '../../src/runtime/Registry.js'
import { createJob } from '../../src/runtime/createJob.js'
import { rankSteps } from '../../src/runtime/rankSteps.js'
import { submissionRowName } from '../../src/runtime/rowNames.js'
import { encodeSubmission } from '../../src/runtime/submissionRow.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'

/** Time for a new configuration to be in force at every node. */
const CONFIGURATION_MS = 1500
/** Time in which the remaining tasks of a job complete after a takeover. */
const COMPLETION_MS = 12_000

/** @returns a rig with an additional route, and a job of that route whose first step runs; `failures`: number of failed runs of each task */
async function createRigWithJob ({ failures = 0 } = {}): Promise<{ rig: CellRig, id: string }> {
  const rig: CellRig = await createSteadyRig({
    others: [{ name: 'extra', maxAttempts: failures + 1 }],
    behaviour: task => ({ duration: 4000 / (failures + 1), ending: rig.fleet.starts.get(task)! > failures ? 'done' : 'failed', size: { cpu: 1000, memory: 100, accelerators: 0 } })
  })
  const { id } = await rig.submit(rig.nodes[0]!, [{ estimate: 4000 }, { after: [0], estimate: 4000 }], 'extra')
  await rig.until(() => rig.fleet.starts.size === 1)
  return { rig, id }
}

/** Replaces the configuration by one that lacks the additional route. */
function removeRoute (rig: CellRig): void {
  rig.configure(2, {}, [])
}

async function takeOver (rig: CellRig): Promise<void> {
  const former = rig.decider!
  rig.kill(former)
  await rig.until(() => rig.decider !== undefined && rig.decider !== former)
}

async function expectCompletion (rig: CellRig, id: string): Promise<void> {
  await rig.run(COMPLETION_MS)
  expect(await rig.phases([id])).toEqual(['completed'])
  expect(rig.fleet.violations).toEqual([])
}

// Guards against accepted jobs that never run again, because only the former decider knew the definition of their removed route.
describe('a job of a route that was removed', () => {
  test('completes without a takeover', async () => {
    const { rig, id } = await createRigWithJob()
    removeRoute(rig)
    await expectCompletion(rig, id)
  })

  test('completes after a takeover', async () => {
    const { rig, id } = await createRigWithJob()
    removeRoute(rig)
    await rig.run(CONFIGURATION_MS)
    await takeOver(rig)
    await expectCompletion(rig, id)
  })

  test('completes after two takeovers', async () => {
    const { rig, id } = await createRigWithJob()
    removeRoute(rig)
    await rig.run(CONFIGURATION_MS)
    await takeOver(rig)
    await takeOver(rig)
    await expectCompletion(rig, id)
  })

  test('completes after the restart of all nodes', async () => {
    const { rig, id } = await createRigWithJob()
    removeRoute(rig)
    await rig.run(CONFIGURATION_MS)
    for (const node of [...rig.nodes]) rig.kill(node)
    await rig.run(500)
    for (const node of [...rig.nodes]) rig.addNode(node.name)
    await expectCompletion(rig, id)
  })

  test('completes if the route was removed while no node was running', async () => {
    const { rig, id } = await createRigWithJob()
    for (const node of [...rig.nodes]) rig.kill(node)
    removeRoute(rig)
    for (const node of [...rig.nodes]) rig.addNode(node.name)
    await expectCompletion(rig, id)
  })

  test('keeps its number of attempts after a takeover', async () => {
    const { rig, id } = await createRigWithJob({ failures: 2 })
    removeRoute(rig)
    await rig.run(CONFIGURATION_MS)
    await takeOver(rig)
    await expectCompletion(rig, id)
  })

  test('that an earlier version accepted waits until the route returns, and is logged', async () => {
    const rig = await createSteadyRig({ others: [{ name: 'extra' }] })
    removeRoute(rig)
    const id = 'a'.repeat(16)
    await rig.run(CONFIGURATION_MS)
    await takeOver(rig)
    rig.tables.put(submissionRowName(id), JSON.stringify({ id, route: 'extra', spec: 'x', steps: [stepOf({})], acceptedAt: 1 }))
    await rig.run(CONFIGURATION_MS)
    expect(await rig.phases([id])).toEqual(['queued'])
    expect(rig.decider!.log.lines.filter(({ event }) => event.name === 'route-unknown').length).toEqual(1)
    rig.configure(3)
    await expectCompletion(rig, id)
  })

  test('is ranked by the configuration in force if the route is still there', () => {
    const registry = new Registry()
    const configured = { name: 'r', host: 'h', prefix: '/', service: 's', priority: 0, maxAttempts: 2, stretch: 2, latencyObjective: 1000 }
    registry.addJob(createJob('a', { ...configured, service: 'former', priority: 1 }, { spec: '', steps: [stepOf({})] }, 0), { now: 0, age: 0, wall: 0 })
    const servicesWith = (routeOf: (name: string) => Route | undefined): string[] => rankSteps(registry.readySteps, { routeOf, now: 0 }).map(({ route }) => route.service)
    expect([servicesWith(() => configured), servicesWith(() => undefined)]).toEqual([['s'], ['former']])
  })
})

// Guards against rows that outgrow the store's limit because of the terms that are stored with every job.
test('the terms of a route take few characters in the row of a submission', () => {
  const route = { name: 'r', host: 'h', prefix: '/', service: 's', priority: 0, maxAttempts: 2, stretch: 2, latencyObjective: 1000, advice: { base: 50, perWorker: 1, validity: 1500 } }
  const job = createJob('5c0e7a21d94b36f8', route, { spec: 'x', steps: [stepOf({})] }, 0)
  expect(encodeSubmission(job).length - encodeSubmission({ ...job, terms: undefined }).length).toBeLessThan(200)
})
