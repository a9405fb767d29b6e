import { CellRig } from './CellRig.js'
import type { RigNode } from './CellRig.js'
import type { FakeWorker } from './FakeWorkers.js'

/** What a drawn run leaves behind. */
export interface RandomFaultRun {
  violations: string[]
  /** Accepted jobs that have not completed. */
  unfinished: string[]
  /** Jobs that were refused and of which a task started. */
  startedThoughRefused: string[]
  faults: string[]
  rig: CellRig
}

/** ms of trouble, and of calm after it: leases run out and a whole job fits into it several times. */
const FAULT_PERIOD_MS = 12_000
const RECOVERY_PERIOD_MS = 30_000

/** Numbers from 0 to 1 that repeat for a seed. */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6D2B79F5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

/** Plays jobs under faults drawn from a seed, then a calm time, and judges. */
export async function runRandomFaults (seed: number): Promise<RandomFaultRun> {
  const random = createRandom(seed)
  const pick = <Item>(items: Item[]): Item => items[Math.floor(random() * items.length)]!
  const rig = new CellRig({
    nodes: 4,
    workers: 5,
    behaviour: task => ({ duration: 100 + (task.charCodeAt(15) * 37 + task.charCodeAt(task.length - 1) * 91) % 1500, how: 'done', size: { cpu: 1000, memory: 100, accelerators: 0 } })
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
      const outcome = await rig.submit(node, steps).catch(() => undefined)
      if (outcome?.verdict.kind === 'accepted') accepted.push(outcome.id)
      if (outcome?.verdict.kind === 'refused') refused.push(outcome.id)
    }
    await rig.run(50 + random() * 300)
  }
  await rig.run(RECOVERY_PERIOD_MS)
  const phases = await rig.phases(accepted)
  const started = [...rig.fleet.firstStart.keys()].map(task => task.slice(0, 16))
  return {
    violations: rig.fleet.violations.map(breach => JSON.stringify(breach)),
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
    ['worker reborn', () => { worker.restart() }],
    ['worker reborn behind a cut', () => { toggle(rig, worker, span, cut => { worker.isCutOff = cut }); schedule(rig, span / 2, () => { worker.restart() }) }],
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
    schedule(rig, span, () => { node.store.condition = 'fair' })
  }
}

function toggle (rig: CellRig, worker: FakeWorker, span: number, set: (on: boolean) => void): void {
  set(true)
  schedule(rig, span, () => { set(false) })
}
