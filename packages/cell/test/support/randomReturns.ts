import type { Job } from '../../src/index.js'
import { CellRig, stepOf } from './CellRig.js'
import { commonFaults, describeFault, pickTarget, schedule } from './commonFaults.js'
import { createRandom } from './createRandom.js'
import { ReturnFaults } from './returnFaults.js'

/** Result of a run in which nodes, workers and requests return. */
export interface RandomReturnRun {
  violations: string[]
  faults: string[]
}

/** Period in which faults are injected, and fault-free period after it. */
const FAULT_PERIOD_MS = 30_000
const RECOVERY_PERIOD_MS = 20_000
/** Share of the faults that let something return. */
const RETURN_SHARE = 0.7
/** Range of the durations of tasks: half of them last longer than a lease. */
const SHORT_TASK_MS = 300
const LONG_TASK_MS = 8000

/** Runs jobs under random faults after which nodes, workers and requests return, and collects violations of the cell's guarantees. */
export async function runRandomReturns (seed: number): Promise<RandomReturnRun> {
  const random = createRandom(seed)
  const pick = <Item>(items: Item[]): Item => items[Math.floor(random() * items.length)]!
  const rig = new CellRig({
    nodes: 5,
    workers: 4,
    behaviour: task => ({ duration: task.charCodeAt(15) % 2 === 0 ? SHORT_TASK_MS : LONG_TASK_MS, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } })
  })
  await rig.until(() => rig.decider !== undefined)
  await rig.run(8000)
  const returns = new ReturnFaults(rig, random)
  const submitted: Job[] = []
  const faults: string[] = []
  const count = 8 + Math.floor(random() * 8)
  for (let index = 0; index < count; index++) {
    schedule(rig, random() * FAULT_PERIOD_MS, () => {
      const target = pickTarget(rig, pick, random)
      const [name, action] = pick(random() < RETURN_SHARE ? returns.list(target, submitted) : commonFaults(rig, target, random))
      action()
      faults.push(describeFault(rig, name, target))
    })
  }
  for (const end = rig.clock.now() + FAULT_PERIOD_MS; rig.clock.now() < end;) {
    const living = rig.nodes.filter(node => !node.clock.isDead)
    const steps = [{ count: 1 + Math.floor(random() * 2) }]
    if (living.length > 0) {
      const result = await rig.submit(pick(living), steps).catch(() => undefined)
      if (result?.outcome.kind === 'accepted') submitted.push({ id: result.id, route: 'r', spec: 'x', steps: steps.map(stepOf), acceptedAt: 1 })
    }
    await rig.run(100 + random() * 900)
  }
  await rig.run(RECOVERY_PERIOD_MS)
  return { violations: rig.fleet.violations.map(violation => JSON.stringify(violation)), faults }
}
