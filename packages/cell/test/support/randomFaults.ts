import { CellRig } from './CellRig.js'
import type { RigNode } from './CellRig.js'
import type { FakeWorker } from './FakeWorkers.js'

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

/** @returns a generator of reproducible numbers from 0 (inclusive) to 1 (exclusive) */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6D2B79F5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

/** Runs jobs under random faults, then without faults, and collects violations of the cell's guarantees. */
export async function runRandomFaults (seed: number): Promise<RandomFaultRun> {
  const random = createRandom(seed)
  const pick = <Item>(items: Item[]): Item => items[Math.floor(random() * items.length)]!
  const rig = new CellRig({
    nodes: 4,
    workers: 5,
    behaviour: task => ({ duration: 100 + (task.charCodeAt(15) * 37 + task.charCodeAt(task.length - 1) * 91) % 1500, ending: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } })
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
      const result = await rig.submit(node, steps).catch(() => undefined)
      if (result?.outcome.kind === 'accepted') accepted.push(result.id)
      if (result?.outcome.kind === 'refused') refused.push(result.id)
    }
    await rig.run(50 + random() * 300)
  }
  await rig.run(RECOVERY_PERIOD_MS)
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

function schedule (rig: CellRig, delay: number, action: () => void): void {
  rig.clock.schedule(delay, action)
}

function injectFault (rig: CellRig, pick: <Item>(items: Item[]) => Item, random: () => number): string {
  const living = rig.nodes.filter(node => !node.clock.isDead)
  const node = random() < 0.5 ? rig.decider ?? pick(rig.nodes) : pick(rig.nodes)
  const worker = pick([...rig.fleet.workers.values()])
  const span = 300 + random() * 6000
  const kinds: Array<[string, () => void]> = [
    ['kill', () => { if (living.length > 1) restartLater(rig, node, span, () => { rig.kill(node) }) }],
    ['power', () => { if (living.length > 1) restartLater(rig, node, span, () => { rig.powerOff(node) }) }],
    ['kill all', () => { for (const each of living) restartLater(rig, each, 500, () => { rig.kill(each) }) }],
    ['freeze', () => { node.clock.freeze(); schedule(rig, span, () => { node.clock.thaw() }) }],
    ['cut node', () => { node.endpoint.isSilenced = true; schedule(rig, span, () => { if (!node.clock.isDead) node.endpoint.isSilenced = false }) }],
    ['store cut for one', () => { setStoreCondition([node], 'silent', rig, span) }],
    ['store refuses one', () => { setStoreCondition([node], 'refusing', rig, span) }],
    ['store down', () => { setStoreCondition(rig.nodes, random() < 0.5 ? 'refusing' : 'silent', rig, span) }],
    ['answers lost', () => { setStoreCondition(rig.nodes, 'losing-answers', rig, Math.min(span, 2000)) }],
    ['writes late', () => { setStoreCondition([node], 'late', rig, Math.min(span, 2000)) }],
    ['history dropped', () => { rig.tables.dropHistory() }],
    ['worker cut', () => { toggle(rig, worker, span, cut => { worker.isCutOff = cut }) }],
    ['worker late', () => { toggle(rig, worker, span, late => { worker.orderDelay = late ? 2000 + random() * 8000 : 0 }) }],
    ['worker hangs', () => { toggle(rig, worker, span, hung => { worker.isHung = hung }) }],
    ['worker restarted', () => { worker.restart() }],
    ['worker restarted while cut off', () => { toggle(rig, worker, span, cut => { worker.isCutOff = cut }); schedule(rig, span / 2, () => { worker.restart() }) }],
    ['planned stop', () => { node.cell.handOver(3000).catch(() => {}); restartLater(rig, node, 2500, () => { schedule(rig, 2000, () => { rig.kill(node) }) }) }]
  ]
  const [name, action] = pick(kinds)
  action()
  return `${rig.clock.now()} ${name} ${node.name} ${worker.report.id} ${Math.round(span)}`
}

function restartLater (rig: CellRig, node: RigNode, delay: number, end: () => void): void {
  end()
  schedule(rig, delay, () => {
    if (rig.nodes.includes(node) && node.clock.isDead) rig.addNode(node.name)
  })
}

function setStoreCondition (nodes: RigNode[], condition: RigNode['store']['condition'], rig: CellRig, span: number): void {
  for (const node of nodes) {
    node.store.condition = condition
    schedule(rig, span, () => { node.store.condition = 'normal' })
  }
}

function toggle (rig: CellRig, worker: FakeWorker, span: number, set: (on: boolean) => void): void {
  set(true)
  schedule(rig, span, () => { set(false) })
}
