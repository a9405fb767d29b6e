import { CellRig } from './CellRig.js'
import { commonFaults, describeFault, pickTarget, schedule } from './commonFaults.js'
import { createRandom } from './createRandom.js'

/** Result of a run with random faults. */
export interface RandomFaultRun {
  violations: string[]
  /** Accepted jobs that have not completed. */
  unfinished: string[]
  /** Jobs that were refused although a task of theirs started. */
  startedThoughRefused: string[]
  faults: string[]
  rig: CellRig
}

/** Period in which faults are injected, and fault-free period after it; the second is several times as long as a lease and a whole job. */
const FAULT_PERIOD_MS = 12_000
const RECOVERY_PERIOD_MS = 30_000

/** Duration of a task of a batch, which is several times as long as that of other tasks. */
const BATCH_MS = 4000

/**
 * Runs jobs under random faults, then without faults, and collects violations of the cell's guarantees.
 *
 * @param seed - seed of the jobs and faults
 * @param options - `preempts`: whether batches of less urgent tasks fill the cell, which are stopped for the other jobs
 */
export async function runRandomFaults (seed: number, { preempts = false }: { preempts?: boolean } = {}): Promise<RandomFaultRun> {
  const random = createRandom(seed)
  const pick = <Item>(items: Item[]): Item => items[Math.floor(random() * items.length)]!
  const batches = new Set<string>()
  const rig = new CellRig({
    nodes: 4,
    workers: 5,
    preempts,
    others: preempts ? [{ name: 'batch', priority: 1, latencyObjective: 20_000 }] : [],
    behaviour: task => batches.has(task.slice(0, 16)) ? { duration: BATCH_MS, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 }, checkpoints: true } : ({ duration: 100 + (task.charCodeAt(15) * 37 + task.charCodeAt(task.length - 1) * 91) % 1500, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } })
  })
  await rig.until(() => rig.decider !== undefined)
  await rig.run(400)
  const faults: string[] = []
  const accepted: string[] = []
  const refused: string[] = []
  const count = 4 + Math.floor(random() * 6)
  for (let index = 0; index < count; index++) schedule(rig, random() * FAULT_PERIOD_MS, () => { faults.push(injectFault(rig, pick, random)) })
  const end = rig.clock.now() + FAULT_PERIOD_MS
  while (rig.clock.now() < end) {
    const living = rig.nodes.filter(node => !node.clock.isDead)
    if (living.length > 0) {
      const steps = random() < 0.3 ? [{ count: 2, gang: true }] : [{ count: 1 + Math.floor(random() * 3) }, { count: 2, after: [0] }]
      const node = pick(living)
      const isBatch = preempts && random() < 0.2
      if (isBatch) batches.add(rig.nextId)
      const result = await (isBatch ? rig.submit(node, [{ count: 12, estimate: BATCH_MS, checkpoints: true }], 'batch') : rig.submit(node, steps)).catch(() => undefined)
      if (result?.outcome.kind === 'accepted') accepted.push(result.id)
      if (result?.outcome.kind === 'refused') refused.push(result.id)
    }
    await rig.run(50 + random() * 300)
  }
  await rig.run(preempts ? 2 * RECOVERY_PERIOD_MS : RECOVERY_PERIOD_MS)
  const phases = await rig.phases(accepted)
  const started = [...rig.fleet.firstStart.keys()].map(task => task.slice(0, 16))
  return {
    violations: rig.fleet.violations.map(violation => JSON.stringify(violation)),
    unfinished: accepted.filter((_, index) => phases[index] !== 'completed').map(id => `${id} ${phases[accepted.indexOf(id)]}`),
    startedThoughRefused: refused.filter(id => started.includes(id)),
    faults,
    rig
  }
}

function injectFault (rig: CellRig, pick: <Item>(items: Item[]) => Item, random: () => number): string {
  const target = pickTarget(rig, pick, random)
  const [name, action] = pick(commonFaults(rig, target, random))
  action()
  return describeFault(rig, name, target)
}
