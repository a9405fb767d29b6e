import { describe, test } from 'node:test'
import { expect } from 'earl'
import { answerExplainRequest } from '../../src/explain/answerExplainRequest.js'
import { explainJob } from '../../src/explain/explainJob.js'
import type { ExplainContext } from '../../src/explain/explainJob.js'
import { readExplainQuery } from '../../src/explain/readExplainQuery.js'
import { renderExplanation } from '../../src/explain/renderExplanation.js'
import { OrganisationTable } from '../../src/organisations/OrganisationTable.js'
import { Registry } from '../../src/runtime/Registry.js'
import type { Configuration, ExplanationAnswer, Job, Route, Step } from '../../src/index.js'
import { createSteadyRig, stepOf } from '../support/CellRig.js'

const ROUTE: Route = { name: 'r', host: 'h', prefix: '/', service: 's', priority: 1, maxAttempts: 3, stretch: 2, latencyObjective: 100 }
const SCARCE = { name: 'scarce', keys: ['k'], weight: 1, cap: { cpu: 3000, memory: 0, accelerators: 0 } }
const CONFIGURATION: Configuration = { version: 1, routes: [ROUTE], maxBody: 1000, organisations: [SCARCE] }

/** A context with four workers of four cores: w0 in use until 700 ms after the start, w1 suspended, w2 without labels, w3 free. */
function createContext (): ExplainContext & { add: (id: string, steps: Array<Partial<Step>>, rest?: Partial<Job>) => void } {
  const registry = new Registry()
  for (let index = 0; index < 4; index++) registry.ensureWorker({ id: `w${index}`, service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 4000, memory: 1000, accelerators: 0 }, labels: index === 2 ? [] : ['a'], born: 1 })
  const add = (id: string, steps: Array<Partial<Step>>, rest: Partial<Job> = {}): void => { registry.addJob({ id, route: 'r', spec: '', steps: steps.map(stepOf), acceptedAt: 0, ...rest }, { now: 0, age: 0, wall: 0 }) }
  add('busy', [{ size: { cpu: 4000, memory: 1, accelerators: 0 }, estimate: 700 }], { organisation: 'scarce' })
  const occurrence = registry.jobs.get('busy')!.occurrences[0]!
  const task = occurrence.steps[0]!.tasks.at(0)!
  Object.assign(task, { phase: 'running', run: 1, projectedEndAt: 700 })
  registry.assign(task, registry.workers.get('w0')!)
  registry.updateReadySteps(occurrence)
  const organisations = new OrganisationTable(registry)
  organisations.update([SCARCE])
  const workers = [...registry.workers.values()]
  return { registry, organisations, configuration: CONFIGURATION, routeOf: name => name === 'r' ? ROUTE : undefined, usable: new Map([['s', workers.filter((_, index) => index !== 1)]]), isolated: new Set(), holds: new Map(), now: 100, add }
}

// An operator who asks why a job waits must learn what the next round of planning will see.
describe('the explanation of a job', () => {
  test('names the workers that fit, why the others do not, and the rank', () => {
    const context = createContext()
    context.add('first', [{ count: 3, estimate: 500, label: 'b' }])
    context.add('second', [{ estimate: 900, label: 'a' }, { after: [0] }])
    const { phase, steps: [step], pending } = explainJob({ job: 'second' }, context)
    expect({ phase, pending, rank: step!.rank, tasksBefore: step!.tasksBefore, examples: step!.examples, unfit: step!.unfit }).toEqual({
      phase: 'queued',
      pending: 1,
      rank: 2,
      tasksBefore: 3,
      examples: [{ worker: 'w3', tasks: 4, speed: 1 }],
      unfit: { full: { workers: 1, examples: ['w0'] }, unusable: { workers: 1, examples: ['w1'] }, label: { workers: 1, examples: ['w2'] } }
    })
  })

  test('projects the start of a gang from the ends of the runs', () => {
    const context = createContext()
    context.add('gang', [{ count: 12, gang: true }])
    const [step] = explainJob({ job: 'gang' }, context).steps
    expect([step!.wait.reason, step!.projectedStart]).toEqual(['no-room', 600])
    context.add('wide', [{ count: 13, gang: true }])
    expect(explainJob({ job: 'wide' }, context).steps[0]!.projectedStart).toEqual(null)
  })

  test('shows the cap that holds up a step', () => {
    const context = createContext()
    context.add('capped', [{}], { organisation: 'scarce' })
    const [step] = explainJob({ job: 'capped' }, context).steps
    expect(step!.cap).toEqual({ organisation: 'scarce', cap: SCARCE.cap, used: { cpu: 4000, memory: 1, accelerators: 0 }, startable: 0 })
    expect(step!.projectedStart).toEqual(null)
    expect(renderExplanation(explainJob({ job: 'capped' }, context))).toEqual(expect.includes('room for 0 tasks'))
  })

  test('tells of jobs that have ended and of unknown ones', () => {
    const context = createContext()
    context.registry.archive('busy', { phase: 'completed', at: 0, version: 0 })
    expect(explainJob({ job: 'busy' }, context).phase).toEqual('completed')
    expect(explainJob({ job: 'other' }, context).phase).toEqual('unknown')
  })
})

describe('the explanation of a job that nobody has submitted', () => {
  // Guards against an operator's question that is planned, counted as waiting or kept.
  test('changes nothing at the decider', () => {
    const context = createContext()
    const count = (): number[] => [context.registry.jobs.size, context.registry.readySteps.size, context.registry.countWaiting('r'), context.registry.usageOf('scarce').cpu]
    const before = count()
    const { steps } = explainJob({ route: 'r', organisation: 'scarce', steps: [stepOf({ count: 2 })] }, context)
    expect(steps.map(({ rank, wait }) => [rank, wait.waiting])).toEqual([[1, 2]])
    expect(count()).toEqual(before)
  })

  test('says why the job would be refused', () => {
    const refusal = (query: object): string | undefined => explainJob({ route: 'r', steps: [stepOf({})], ...query }, createContext()).refusal
    expect(refusal({})).toEqual(undefined)
    expect(refusal({ route: 'x' })).toEqual('there is no route x')
    expect(refusal({ organisation: 'x' })).toEqual('there is no organisation x')
    expect(refusal({ steps: [stepOf({ count: 10_001 })] })).toEqual('the steps have 10001 tasks, more than 10000')
    expect(refusal({ organisation: 'scarce', steps: [stepOf({ count: 4, gang: true })] })).toEqual('the gang of step 0 never fits under the cap of scarce')
  })
})

describe('a request for an explanation', () => {
  test('reaches the decider from a follower, and is turned away if another came just before', async () => {
    const rig = await createSteadyRig({ workers: 1, cpu: 500 })
    const { id } = await rig.submit(rig.nodes[0]!, [{}])
    const follower = rig.nodes.find(node => node !== rig.decider)!
    const ask = async (): Promise<ExplanationAnswer | undefined> => {
      const answers: Array<ExplanationAnswer | undefined> = []
      follower.cell.explain({ job: id }).then(answer => answers.push(answer), error => { throw error })
      await rig.until(() => answers.length > 0)
      return answers[0]
    }
    const answer = await ask()
    expect(answer !== undefined && 'explanation' in answer && answer.explanation.steps[0]?.unfit).toEqual({ 'too-small': { workers: 1, examples: ['w0'] } })
    expect(await ask()).toEqual({ about: 'explanation', problem: 'busy' })
    await rig.run(200)
    expect(await ask()).not.toEqual({ about: 'explanation', problem: 'busy' })
  })

  // The port is open to whoever reaches it: what can't be read must not reach the decider.
  test('is refused if it can not be read or is too large', async () => {
    const status = async (url: string, method = 'GET'): Promise<number> => (await answerExplainRequest({ method, url }, async () => undefined)).status
    const withSteps = (steps: unknown): string => `/explain?route=r&steps=${encodeURIComponent(JSON.stringify(steps))}`
    expect(await status('/explain?job=00000000000000a1', 'POST')).toEqual(405)
    for (const url of ['/explain', '/explain?job=x', '/explain?route=r&steps=[', withSteps([]), withSteps([{ count: 0.5 }]), withSteps([{ after: [0] }]), withSteps([{ size: { cpu: -1 } }]), withSteps([{ label: 5 }]), withSteps(Array.from({ length: 33 }, () => ({}))), `/explain?route=${'x'.repeat(9000)}`]) {
      expect(await status(url)).toEqual(400)
    }
    expect(await status(withSteps([{ gang: true }]))).toEqual(503)
    expect(readExplainQuery(withSteps([{ size: { cpu: 5 } }])).unwrap()).toEqual({ route: 'r', steps: [stepOf({ estimate: 1000, size: { cpu: 5, memory: 100, accelerators: 0 } })] })
  })
})
