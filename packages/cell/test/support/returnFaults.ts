import type { Cell, Job } from '../../src/index.js'
import type { CellRig, RigNode } from './CellRig.js'
import { schedule } from './commonFaults.js'
import type { FaultTarget } from './commonFaults.js'

/** Range of the time for which an idle worker is down, and of the time after which it is cut off once it is back. */
const MIN_DOWNTIME_MS = 150
const DOWNTIME_RANGE_MS = 500
const MIN_CUT_DELAY_MS = 200
const CUT_DELAY_RANGE_MS = 1500
/** Duration of a cut: longer than a lease. */
const MIN_CUT_MS = 5000
const CUT_RANGE_MS = 6000
/** Time after which the entry of a worker that is cut off from the store expires. */
const ENTRY_EXPIRY_MS = 4500
/** Duration of resets of a node's connections to the store: short enough for a caller to outlast. */
const RESET_MS = 600

/** Faults after which a node, a worker or a request returns with what it was told before. */
export class ReturnFaults {
  private isZoneCut = false

  constructor (private readonly rig: CellRig, private readonly random: () => number) {}

  /** @returns names and actions of the faults; `submitted`: the accepted jobs, of which one is submitted again */
  list ({ node, worker, span }: FaultTarget, submitted: Job[]): Array<[string, () => void]> {
    const { rig, random } = this
    return [
      ['idle worker restarted, then cut off', () => {
        const idle = [...rig.fleet.workers.values()].filter(each => each.running.size === 0 && !each.isDown)
        const target = idle[Math.floor(random() * idle.length)] ?? worker
        const downtime = MIN_DOWNTIME_MS + random() * DOWNTIME_RANGE_MS
        const cutAfter = downtime + MIN_CUT_DELAY_MS + random() * CUT_DELAY_RANGE_MS
        target.crash(downtime)
        schedule(rig, cutAfter, () => { target.isCutOff = true })
        schedule(rig, cutAfter + MIN_CUT_MS + random() * CUT_RANGE_MS, () => { target.isCutOff = false })
      }],
      ['zone cut off', () => { this.cutZone(node, worker.report.id) }],
      ['announcements held up', () => { holdAnnouncements(rig, node, span) }],
      ['submitted again', () => { this.submitAgain(node, submitted) }],
      ['submitted again at a node that the store resets', () => {
        node.store.condition = 'resetting'
        schedule(rig, RESET_MS, () => { node.store.condition = 'normal' })
        this.submitAgain(node, submitted)
      }]
    ]
  }

  /** Cuts off a node, perhaps a second one, and a worker from all others and from the store. */
  private cutZone (node: RigNode, worker: string): void {
    const { rig, random } = this
    if (this.isZoneCut) return
    this.isZoneCut = true
    const others = rig.nodes.filter(each => each !== node)
    rig.cutOffZone([node, ...others.slice(0, Math.floor(random() * 2.5))], [worker])
    schedule(rig, ENTRY_EXPIRY_MS, () => { if (this.isZoneCut) rig.removeInstance(worker) })
    schedule(rig, MIN_CUT_MS + random() * CUT_RANGE_MS, () => {
      this.isZoneCut = false
      rig.healZone()
      rig.putInstance(rig.fleet.workers.get(worker)!.report)
    })
  }

  private submitAgain ({ cell }: RigNode, submitted: Job[]): void {
    const job = submitted[Math.floor(this.random() * submitted.length)]
    if (job !== undefined) cell.gateway.submit(job, this.rig.clock.now() + 2000).catch(error => { throw error })
  }
}

/** Delays a node's announcements of jobs, as a pause between the write and the announcement does. */
function holdAnnouncements (rig: CellRig, { cell }: RigNode, span: number): void {
  const announceJob: Cell['announceJob'] = cell.announceJob.bind(cell)
  cell.announceJob = (...announcement) => { schedule(rig, span, () => { announceJob(...announcement) }) }
  schedule(rig, span, () => { cell.announceJob = announceJob })
}
