import { performance } from 'node:perf_hooks'
import { AdviceScheduler } from '../../src/runtime/AdviceScheduler.js'
import { Registry } from '../../src/runtime/Registry.js'
import { planRound } from '../../src/runtime/planRound.js'
import { rankSteps } from '../../src/runtime/rankSteps.js'
import { OrganisationTable } from '../../src/index.js'
import type { Organisation, Route } from '../../src/index.js'
import { stepOf } from '../support/CellRig.js'

const ROUNDS = 400
const WORKERS = [30, 250, 1500]
const WAITING_TASKS = [100, 1000, 5000, 20_000]
const ROUTE: Route = { name: 'r', host: 'h', prefix: '/', service: 's', priority: 1, maxAttempts: 3, stretch: 2, latencyObjective: 1000, advice: { base: 50, perWorker: 1, validity: 1500 } }

/** Organisations that the waiting jobs belong to in turn, if any. */
const ORGANISATIONS: Organisation[] = Array.from({ length: 20 }, (_, index) => ({ name: `o${index}`, keys: [], weight: 1 + index, cap: { cpu: 10_000_000, memory: 0, accelerators: 0 } }))

/** @returns a registry in which every worker has capacity for one small task, while larger tasks wait, half of them with tickets */
function createFullRegistry (workers: number, tasks: number, organisations: Organisation[]): Registry {
  const registry = new Registry()
  for (let index = 0; index < workers; index++) {
    const state = registry.ensureWorker({ id: `w${index}`, service: 's', address: '', dataCentre: 'd', state: 'ready', capacity: { cpu: 16_000, memory: 65_536, accelerators: 0 }, labels: [`r1-${Math.floor(index / 12)}`], born: 1 })
    state.used.cpu = 15_500
  }
  const width = 10
  for (let index = 0; index < tasks / width; index++) {
    const id = index.toString(16).padStart(16, '0')
    const state = registry.addJob({ id, route: 'r', spec: '', steps: [stepOf({ count: width, size: { cpu: 900 + index % 900, memory: 2000, accelerators: 0 }, estimate: 2000 })], acceptedAt: 0, ...(organisations.length === 0 ? {} : { organisation: organisations[index % organisations.length]!.name }) }, { now: index, age: 0, wall: 0 })
    if (index % 2 === 1) continue
    const step = state.occurrences[0]!.steps[0]!
    for (let worker = 0; worker < Math.min(20, workers); worker++) {
      const { report, presence } = registry.workers.get(`w${(worker * 7 + index) % workers}`)!
      if (worker % 2 === 0) step.allowedWorkers.set(report.id, report.born)
      else step.rejectedWorkers.set(report.id, presence)
      step.tickets.set(report.id, { text: 't', validUntil: Infinity, born: report.born })
    }
  }
  return registry
}

/** Rounds in which a small urgent job is placed in a full cell. */
class RoundBench {
  private readonly registry: Registry
  private readonly table: OrganisationTable
  private readonly scheduler = new AdviceScheduler()
  private readonly durations: number[] = []

  constructor (workers: number, private readonly tasks: number, organisations: Organisation[]) {
    this.registry = createFullRegistry(workers, tasks, organisations)
    this.table = new OrganisationTable(this.registry)
    this.table.update(organisations)
  }

  run (round: number): void {
    const { registry, scheduler, table, tasks } = this
    const urgent = registry.addJob({ id: `f${round.toString(16).padStart(15, '0')}`, route: 'u', spec: '', steps: [stepOf({ size: { cpu: 400, memory: 100, accelerators: 0 } })], acceptedAt: 0 }, { now: tasks, age: 0, wall: 0 })
    const all = [...registry.workers.values()]
    const since = performance.now()
    const ranked = rankSteps(registry.readySteps, { routeOf: name => name === 'u' ? { ...ROUTE, name, priority: 0, advice: undefined } : ROUTE, now: tasks, arrange: table.startTurns(() => all, tasks) })
    planRound(ranked, { workersOf: () => all, now: tasks, adviceRound: scheduler.startRound(['a', 'b'], tasks), capBudgetOf: table.startRound() })
    this.durations.push(performance.now() - since)
    registry.readySteps.delete(urgent.occurrences[0]!.steps[0]!)
    scheduler.callSent('a', 100, tasks)
    scheduler.callSent('b', 100, tasks)
  }

  /** @returns a percentile of the duration in ms */
  percentile (ratio: number): string {
    return this.durations.sort((a, b) => a - b)[Math.floor(ROUNDS * ratio)]!.toFixed(2)
  }
}

console.log('| workers | waiting tasks | p50 ms | p99 ms | with organisations: p50 ms | p99 ms |\n| --- | --- | --- | --- | --- | --- |')
for (const workers of WORKERS) {
  for (const tasks of WAITING_TASKS) {
    // Both kinds of rounds in turn, so that other load on the machine disturbs both alike.
    const benches = [[], ORGANISATIONS].map(organisations => new RoundBench(workers, tasks, organisations))
    for (let round = 0; round < ROUNDS; round++) for (const bench of round % 2 === 0 ? benches : benches.toReversed()) bench.run(round)
    console.log(`| ${workers} | ${tasks} | ${benches.map(bench => `${bench.percentile(0.5)} | ${bench.percentile(0.99)}`).join(' | ')} |`)
  }
}
