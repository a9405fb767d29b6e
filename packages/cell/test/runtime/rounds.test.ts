import { describe, test } from 'node:test'
import { expect } from 'earl'
import { AdviceScheduler } from '../../src/runtime/AdviceScheduler.js'
import { Registry } from '../../src/runtime/Registry.js'
import type { StepState, ValidTicket } from '../../src/runtime/model.js'
import { planRound } from '../../src/runtime/planRound.js'
import type { RoundPlan } from '../../src/runtime/planRound.js'
import { rankSteps } from '../../src/runtime/rankSteps.js'
import type { Route } from '../../src/index.js'
import { stepOf } from '../support/CellRig.js'

const ROUTES: Record<string, Route> = {
  crowd: { name: 'crowd', host: 'h', prefix: '/c', service: 's', priority: 1, maxAttempts: 3, stretch: 2, latencyObjective: 1000, advice: { base: 50, perWorker: 1, validity: 1500 } },
  small: { name: 'small', host: 'h', prefix: '/s', service: 's', priority: 2, maxAttempts: 3, stretch: 2, latencyObjective: 1000 }
}

/** Map that counts its reads. */
class CountingMap<Key, Value> extends Map<Key, Value> {
  reads = 0

  override get (key: Key): Value | undefined {
    this.reads++
    return super.get(key)
  }
}

function addStep (registry: Registry, index: number, route: string, cpu: number): StepState {
  const id = index.toString(16).padStart(16, '0')
  const job = registry.addJob({ id, route, spec: '', steps: [stepOf({ size: { cpu, memory: 1, accelerators: 0 } })], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 })
  return job.occurrences[0]!.steps[0]!
}

function plan (registry: Registry): RoundPlan {
  const workers = [...registry.workers.values()]
  return planRound(rankSteps(registry.readySteps, { routeOf: name => ROUTES[name], now: 0 }), { workersOf: () => workers, now: 0, adviceRound: new AdviceScheduler().startRound(['a'], 0) })
}

/** @returns a registry with workers that have 500 thousandths of a core free each */
function createFullRegistry (workers: number): Registry {
  const registry = new Registry()
  for (let index = 0; index < workers; index++) {
    registry.ensureWorker({ id: `w${index}`, service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 16_000, memory: 1000, accelerators: 0 }, labels: [], born: 1 }).used.cpu = 15_500
  }
  return registry
}

// Guards against gangs that ask at the same time about the same workers: the first answer takes them, and all others ask again.
describe('gangs that ask for advice in the same round', () => {
  test('name different workers if many have the same capacity', () => {
    const registry = new Registry()
    for (let index = 0; index < 200; index++) {
      registry.ensureWorker({ id: `i-${(index * 7919).toString(16)}`, service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 16_000, memory: 1000, accelerators: 0 }, labels: [], born: 1 })
    }
    for (let index = 0; index < 2; index++) {
      const id = index.toString(16).padStart(16, '0')
      registry.addJob({ id, route: 'crowd', spec: '', steps: [stepOf({ count: 20, gang: true, size: { cpu: 4500, memory: 1, accelerators: 0 } })], acceptedAt: 0 }, { now: 0, age: 0, wall: 0 })
    }
    const workers = [...registry.workers.values()]
    const round = planRound(rankSteps(registry.readySteps, { routeOf: name => ROUTES[name], now: 0 }), { workersOf: () => workers, now: 0, adviceRound: new AdviceScheduler().startRound(['a', 'b', 'c'], 0), allowedShare: () => 0.25 })
    const [first, second] = round.adviceRequests.map(request => new Set(request.workers))
    const shared = [...first!].filter(worker => second!.has(worker)).length
    // Of 54 workers, a quarter of 200 are shared by chance.
    expect(first!.size).toBeGreaterThan(50)
    expect(shared).toBeLessThan(first!.size / 2)
  })
})

// Guards against rounds that become slow when thousands of tasks wait at peak load and no worker has capacity for them.
describe('a round of planning in a full cell', () => {
  test('examines no worker for steps that fit nowhere, and still places tasks that fit', () => {
    const registry = createFullRegistry(50)
    const tickets = new CountingMap<string, ValidTicket>()
    for (let index = 0; index < 400; index++) {
      const step = addStep(registry, index, 'crowd', 900)
      step.tickets = tickets
      for (let worker = 0; worker < 10; worker++) step.allowedWorkers.set(`w${worker}`, 1)
    }
    addStep(registry, 1000, 'small', 400)
    const round = plan(registry)
    expect(round.placements.map(({ task }) => task.step.occurrence.job.job.route)).toEqual(['small'])
    expect(tickets.reads).toEqual(0)
  })

  test('plans no more calls for advice than there are idle nodes, in rank order', () => {
    const registry = createFullRegistry(50)
    for (const worker of registry.workers.values()) worker.used.cpu = 0
    const steps = Array.from({ length: 30 }, (_, index) => addStep(registry, index, 'crowd', 900))
    const round = plan(registry)
    expect(round.adviceRequests.map(({ step }) => step)).toEqual([steps[0]!])
  })
})
