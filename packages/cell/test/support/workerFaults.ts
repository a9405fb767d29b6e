import type { CellRig } from './CellRig.js'
import { schedule } from './commonFaults.js'
import type { FaultTarget } from './commonFaults.js'
import type { AdviceCondition } from './FakeAdvisor.js'
import type { FakeWorker } from './FakeWorkers.js'

/** Interval at which workers write their entries in the list of instances. */
const HEARTBEAT_MS = 1500
/** Time after which the entry of a silent worker is removed. */
const ENTRY_EXPIRY_MS = 3 * HEARTBEAT_MS
/** Time for which a worker that leaves gracefully continues to serve. */
const DRAIN_MS = 2000

/** Comings and goings of the rig's workers. */
export class WorkerChanges {
  private lastId = 100

  constructor (private readonly rig: CellRig, private readonly random: () => number) {
    rig.clock.repeat(HEARTBEAT_MS, () => { for (const worker of rig.fleet.workers.values()) this.beat(worker) })
  }

  /** Removes a worker that has crashed, and adds another one at its address after a while, usually under a new id; `downtime` in ms. */
  replace (worker: FakeWorker, downtime: number): void {
    const { rig } = this
    const { id, capacity } = worker.report
    rig.fleet.remove(id)
    schedule(rig, ENTRY_EXPIRY_MS, () => { if (!rig.fleet.workers.has(id)) rig.tables.drop({ table: 'servers', part: '', key: id }) })
    const isSameId = this.random() < 0.2
    schedule(rig, downtime, () => { this.join(isSameId ? id : `w${this.lastId++}`, capacity.cpu, worker.report.born + 1) })
  }

  /** Has a worker leave gracefully, and another one or the same come back; `downtime` in ms. */
  leave (worker: FakeWorker, downtime: number): void {
    const { rig } = this
    const { id, capacity } = worker.report
    worker.report = { ...worker.report, state: 'draining' }
    rig.putInstance(worker.report)
    schedule(rig, DRAIN_MS, () => {
      if (rig.fleet.workers.get(id) !== worker) return
      rig.fleet.remove(id)
      rig.tables.drop({ table: 'servers', part: '', key: id })
      schedule(rig, downtime, () => { this.join(this.random() < 0.5 ? id : `w${this.lastId++}`, capacity.cpu, worker.report.born + 1) })
    })
  }

  /** Changes a worker's capacity to a share of it for `span` ms. */
  shrink (worker: FakeWorker, share: number, span: number): void {
    const { cpu } = worker.report.capacity
    worker.setCapacity(Math.round(cpu * share))
    schedule(this.rig, span, () => { worker.setCapacity(cpu) })
  }

  private join (id: string, cpu: number, born: number): void {
    if (this.rig.fleet.workers.has(id)) return
    this.rig.addWorker(id, cpu)
    const worker = this.rig.fleet.workers.get(id)!
    worker.report = { ...worker.report, born }
    this.rig.putInstance(worker.report)
  }

  private beat (worker: FakeWorker): void {
    if (worker.isDown) return
    const { rig } = this
    const value = JSON.stringify(worker.report)
    if (rig.tables.rows.get(`servers//${worker.report.id}`)?.value !== value) rig.putInstance(worker.report)
  }
}

/** @returns names and actions of faults after which workers come back changed, and of faults of the advice service */
export function workerFaults (rig: CellRig, changes: WorkerChanges, { node, worker, span }: FaultTarget, random: () => number): Array<[string, () => void]> {
  const setAdvice = (nodes: typeof rig.nodes): void => {
    const conditions: AdviceCondition[] = ['slow', 'refused', 'busy', 'silent']
    const condition = conditions[Math.floor(random() * conditions.length)]!
    for (const each of nodes) {
      each.advisor.condition = condition
      schedule(rig, span, () => { each.advisor.condition = 'normal' })
    }
  }
  return [
    ['worker crashes', () => { worker.crash(span) }],
    ['worker replaced', () => { changes.replace(worker, span) }],
    ['half of the workers replaced', () => { for (const each of rig.fleet.workers.values()) if (random() < 0.5) changes.replace(each, span) }],
    ['worker leaves', () => { changes.leave(worker, span) }],
    ['worker shrinks', () => { changes.shrink(worker, 0.2 + random() * 0.6, span) }],
    ['workers shrink', () => { for (const each of rig.fleet.workers.values()) if (random() < 0.5) changes.shrink(each, 0.2 + random() * 0.6, span) }],
    ['advice of one', () => { setAdvice([node]) }],
    ['advice of all', () => { setAdvice(rig.nodes) }]
  ]
}
