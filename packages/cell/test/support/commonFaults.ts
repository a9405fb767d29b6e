import type { CellRig, RigNode } from './CellRig.js'
import type { FakeWorker } from './FakeWorkers.js'

/** What a fault hits, and for how long; `span` in ms. */
export interface FaultTarget {
  node: RigNode
  worker: FakeWorker
  span: number
}

/** @returns a node, the decider in half of the cases, a worker and a duration */
export function pickTarget (rig: CellRig, pick: <Item>(items: Item[]) => Item, random: () => number): FaultTarget {
  const node = random() < 0.5 ? rig.decider ?? pick(rig.nodes) : pick(rig.nodes)
  const worker = pick([...rig.fleet.workers.values()])
  return { node, worker, span: 300 + random() * 6000 }
}

/** @returns a line that says which fault was injected when */
export function describeFault (rig: CellRig, name: string, { node, worker, span }: FaultTarget): string {
  return `${rig.clock.now()} ${name} ${node.name} ${worker.report.id} ${Math.round(span)}`
}

/** @returns names and actions of the faults of nodes, links, the store and workers that leave every worker in the list of instances */
export function commonFaults (rig: CellRig, { node, worker, span }: FaultTarget, random: () => number): Array<[string, () => void]> {
  const living = rig.nodes.filter(each => !each.clock.isDead)
  return [
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
}

/** Runs an action after a delay in ms. */
export function schedule (rig: CellRig, delay: number, action: () => void): void {
  rig.clock.schedule(delay, action)
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

/** Switches a condition of a worker on, and off after `span` ms. */
export function toggle (rig: CellRig, worker: FakeWorker, span: number, set: (on: boolean) => void): void {
  set(true)
  schedule(rig, span, () => { set(false) })
}
