import { describe, test } from 'node:test'
import { expect } from 'earl'
import { AdviceScheduler } from '../../src/runtime/AdviceScheduler.js'
import { Registry } from '../../src/runtime/Registry.js'
import { isolatedWorkers } from '../../src/runtime/Suspicion.js'
import type { StepState, Task } from '../../src/runtime/model.js'
import { planRound } from '../../src/runtime/planRound.js'
import { rankSteps } from '../../src/runtime/rankSteps.js'
import type { Route, Step } from '../../src/index.js'
import { stepOf } from '../support/CellRig.js'

const ROUTE: Route = { name: 'r', host: 'h', prefix: '/', service: 's', priority: 0, maxAttempts: 3, stretch: 2, latencyObjective: 1000 }

function createRegistry (workers: number): Registry {
  const registry = new Registry()
  for (let index = 0; index < workers; index++) {
    registry.ensureWorker({ id: `w${index}`, service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 4000, memory: 1000, accelerators: 0 }, labels: [], born: 1 }).isReachable = true
  }
  return registry
}

function addSteps (registry: Registry, index: number, steps: Array<Partial<Step>>): StepState[] {
  const id = index.toString(16).padStart(16, '0')
  return registry.addJob({ id, route: 'r', spec: '', steps: steps.map(stepOf), acceptedAt: 0 }, { now: 0, age: 0, wall: 0 }).occurrences[0]!.steps
}

function suspect (registry: Registry, task: Task): void {
  task.crashes.push({ worker: 'gone', incarnation: 1, run: 1, certainty: 'confirmed', isAlone: true })
  registry.updateSuspicion(task)
}

function run (registry: Registry, task: Task, worker: string, confirmedAt: number): void {
  task.phase = 'running'
  task.confirmedAt = confirmedAt
  registry.assign(task, registry.workers.get(worker)!)
  registry.updateReadySteps(task.step.occurrence)
}

/** @returns names of the tasks that a round of planning places */
function plan (registry: Registry, now: number): string[] {
  const workers = [...registry.workers.values()]
  const ranked = rankSteps(registry.readySteps, { routeOf: () => ROUTE, now })
  return planRound(ranked, { workersOf: () => workers, now, adviceRound: new AdviceScheduler().startRound(['a'], now) }).placements.map(({ task }) => task.name)
}

describe('a job under which a worker has crashed', () => {
  // Guards against members of a gang that are placed a second time while their former runs are being stopped.
  test('has its gang started again only when no member runs any more', () => {
    const registry = createRegistry(3)
    const [gang] = addSteps(registry, 1, [{ count: 2, gang: true }])
    suspect(registry, gang!.tasks.at(0)!)
    run(registry, gang!.tasks.at(1)!, 'w1', 1)
    gang!.tasks.at(1)!.phase = 'stopping'
    expect(plan(registry, 5000)).toEqual([])
  })

  // Guards against a job that stands still because the task to be tried again fits nowhere, for example after workers have shrunk.
  test('goes on with its other tasks if the suspect fits nowhere', () => {
    const registry = createRegistry(2)
    const [large, small] = addSteps(registry, 1, [{ size: { cpu: 5000, memory: 1, accelerators: 0 } }, {}])
    suspect(registry, large!.tasks.at(0)!)
    expect(plan(registry, 10)).toEqual([])
    expect(plan(registry, 4000)).toEqual([small!.tasks.at(0)!.name])
  })

  // Guards against tasks that last and are restarted one every few seconds after a crash of their worker.
  test('has all its tasks started again once one of them has run for a while', () => {
    const registry = createRegistry(4)
    const [step] = addSteps(registry, 1, [{ count: 4, lasting: true }])
    for (const task of step!.tasks) suspect(registry, task)
    run(registry, step!.tasks.at(0)!, 'w0', 1000)
    expect(plan(registry, 2000)).toEqual([])
    expect(plan(registry, 6000).length).toEqual(3)
  })

  // Guards against a cell in which nothing starts since each of many suspects has a worker to itself.
  test('takes at most a quarter of the workers for itself, together with others', () => {
    const registry = createRegistry(8)
    for (let index = 0; index < 8; index++) {
      const [step] = addSteps(registry, index, [{}])
      suspect(registry, step!.tasks.at(0)!)
      run(registry, step!.tasks.at(0)!, `w${index}`, 1000)
    }
    expect(isolatedWorkers(registry, 1500).size).toEqual(2)
  })
})
