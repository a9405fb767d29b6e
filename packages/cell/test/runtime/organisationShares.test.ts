import { describe, test } from 'node:test'
import { expect } from 'earl'
import { OrganisationTable } from '../../src/index.js'
import { Registry } from '../../src/runtime/Registry.js'
import { rankSteps } from '../../src/runtime/rankSteps.js'
import { stepOf } from '../support/CellRig.js'

const CAP = { cpu: 0, memory: 0, accelerators: 0 }
const ROUTES = [0, 1].map(priority => ({ name: `r${priority}`, service: 's', priority, maxAttempts: 2, stretch: 2, latencyObjective: 1000 }))

/** Plays steps of organisations against a worker of ten cores; returns the ids of the waiting jobs in rank order. */
function rank (running: Array<[organisation: string, tasks: number]>, waiting: Array<[id: string, organisation: string, priority?: number]>, { names = ['small', 'large'], now = 0 } = {}): string[] {
  const registry = new Registry()
  const table = new OrganisationTable(registry)
  table.update(names.map((name, index) => ({ name, keys: [], weight: 1 + 3 * index, cap: CAP })))
  const worker = registry.ensureWorker({ id: 'w', service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 10_000, memory: 10_000, accelerators: 0 }, labels: [], born: 1 })
  const add = (id: string, organisation: string, { priority = 0, count = 1 } = {}): ReturnType<Registry['addJob']> =>
    registry.addJob({ id, route: `r${priority}`, spec: '', steps: [stepOf({ count })], acceptedAt: 0, organisation, organisationTerms: { weight: 1, cap: CAP } }, { now: 0, age: 0, wall: 0 })
  for (const [organisation, count] of running) {
    const state = add(`running ${organisation}`, organisation, { count })
    for (const task of state.occurrences[0]!.steps[0]!.tasks) {
      task.phase = 'running'
      registry.assign(task, worker)
    }
    registry.updateReadySteps(state.occurrences[0]!)
  }
  for (const [id, organisation, priority] of waiting) add(id, organisation, { priority })
  return rankSteps(registry.readySteps, { routeOf: name => ROUTES.find(route => route.name === name), now, arrange: table.startTurns(() => [worker], now) }).map(({ step }) => step.occurrence.job.job.id)
}

describe('organisations in a full service', () => {
  // Guards against an organisation that takes everything by submitting first, and against one that is held back for its weight alone.
  test('take turns by the share of the capacity that they use for their weight', () => {
    expect(rank([['small', 2], ['large', 7]], [['s1', 'small'], ['s2', 'small'], ['l1', 'large'], ['l2', 'large']])).toEqual(['l1', 'l2', 's1', 's2'])
    expect(rank([['small', 1], ['large', 8]], [['s1', 'small'], ['s2', 'small'], ['s3', 'small'], ['l1', 'large'], ['l2', 'large']])).toEqual(['s1', 's2', 'l1', 'l2', 's3'])
  })

  // Guards against shares that delay urgent work behind less urgent work of others.
  test('take turns only among work of the same priority', () => {
    expect(rank([['small', 9]], [['l1', 'large', 1], ['s1', 'small']])).toEqual(['s1', 'l1'])
  })

  // Guards against a small organisation whose urgent work waits for the end of its own gang, which alone is many times its share.
  test('are served before the turns with their most urgent step once half of its time is over, and with one only', () => {
    const waiting: Array<[string, string]> = [['l1', 'large'], ['s1', 'small'], ['s2', 'small'], ['l2', 'large']]
    expect(rank([['small', 9]], waiting, { now: 700 })).toEqual(['l1', 'l2', 's1', 's2'])
    expect(rank([['small', 9]], waiting, { now: 900 })).toEqual(['l1', 's1', 'l2', 's2'])
  })

  // Guards against a change of the order where nothing is short or no organisation is configured.
  test('are served by the time left while there is room, and where none is configured', () => {
    expect(rank([['small', 5]], [['s1', 'small'], ['l1', 'large']])).toEqual(['s1', 'l1'])
    expect(rank([['small', 9]], [['s1', 'small'], ['l1', 'large']], { names: [] })).toEqual(['s1', 'l1'])
  })
})
