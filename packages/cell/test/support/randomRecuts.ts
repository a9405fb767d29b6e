import { CellRig } from './CellRig.js'
import { schedule } from './commonFaults.js'
import { createRandom } from './createRandom.js'

/** Result of a run in which workers restart under their ids and are cut off soon after. */
export interface RecutRun {
  violations: string[]
  faults: string[]
}

/** Disturbances beside the restarts and cuts. */
export interface RecutOptions {
  /** Whether the decider is killed near each restart. */
  kills: boolean
  /** Whether some orders that are sent near a restart are carried out 2 to 6 s later. */
  delaysOrders: boolean
}

const ROUNDS = 3
const ROUND_MS = 13_000
const DOWNTIME_MS = 600
/** Range of the time from a restart to the cut that follows, and duration of the cut: longer than a lease. */
const CUT_DELAY_RANGE_MS = 2000
const CUT_MS = 8000
const STRUCK_SHARE = 0.34
const SHORT_TASK_MS = 300
const LONG_TASK_MS = 8000
const RECOVERY_PERIOD_MS = 15_000

/** Runs jobs while a third of the workers restart under their ids and are cut off soon after, and collects violations of the cell's guarantees. */
export async function runRandomRecuts (seed: number, { kills, delaysOrders }: RecutOptions): Promise<RecutRun> {
  const random = createRandom(seed)
  const rig = new CellRig({ nodes: 5, workers: 6, behaviour: task => ({ duration: task.charCodeAt(15) % 2 === 0 ? SHORT_TASK_MS : LONG_TASK_MS, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } }) })
  await rig.until(() => rig.decider !== undefined)
  await rig.run(8000)
  const faults: string[] = []
  for (let round = 0; round < ROUNDS; round++) {
    const at = 4000 + round * ROUND_MS + random() * 1000
    const struck = [...rig.fleet.workers.values()].filter(() => random() < STRUCK_SHARE)
    const cutAfter = DOWNTIME_MS + random() * CUT_DELAY_RANGE_MS
    schedule(rig, at, () => {
      for (const worker of struck) worker.crash(DOWNTIME_MS)
      faults.push(`${rig.clock.now()} crash of ${struck.map(({ report }) => report.id).join()}, cut after ${Math.round(cutAfter)} ms`)
    })
    schedule(rig, at + cutAfter, () => { for (const worker of struck) worker.isCutOff = true })
    schedule(rig, at + cutAfter + CUT_MS, () => { for (const worker of struck) worker.isCutOff = false })
    if (kills) schedule(rig, at - 300 + random() * cutAfter, () => { killDecider(rig, faults) })
    if (!delaysOrders) continue
    schedule(rig, at - 2000, () => { for (const worker of struck) if (random() < 0.5) worker.orderDelay = 2000 + random() * 4000 })
    schedule(rig, at + 1000, () => { for (const worker of struck) worker.orderDelay = 0 })
  }
  for (const end = rig.clock.now() + (ROUNDS + 0.25) * ROUND_MS; rig.clock.now() < end;) {
    const living = rig.nodes.filter(node => !node.clock.isDead)
    if (living.length > 0) await rig.submit(living[Math.floor(random() * living.length)]!, [{ count: 1 + Math.floor(random() * 3) }]).catch(() => undefined)
    await rig.run(100 + random() * 500)
  }
  await rig.run(RECOVERY_PERIOD_MS)
  return { violations: rig.fleet.violations.map(violation => JSON.stringify(violation)), faults }
}

function killDecider (rig: CellRig, faults: string[]): void {
  const node = rig.decider
  if (node === undefined) return
  faults.push(`${rig.clock.now()} kill of ${node.name}`)
  rig.kill(node)
  schedule(rig, 3000, () => { rig.addNode(node.name) })
}
