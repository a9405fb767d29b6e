import { noFaults } from '@rattanstep/stand-ins'
import type { JobKind } from '../../src/index.js'
import { Cell, makeClass } from './Cell.js'
import { findViolations, readTasks } from './invariants.js'

/**
 * Runs a simulated cell under random faults that a seed determines.
 */

export interface ChaosReport {
  seed: number
  violations: string[]
  /** Tasks that had not ended within 60 s after the last fault. */
  unfinished: string[]
  actions: Record<string, number>
  runs: number
  /** Number of runs beyond the first run of each task. */
  repeats: number
}

type Action = (cell: Cell) => void

const STEP_COUNT = 25
const MAX_STEP_MS = 400
const END_TIMEOUT_MS = 60_000
const WORKER_COUNT = 4

const ACTIONS: Record<string, Action> = {
  nothing: () => {},
  'table down': cell => { cell.table.faults.down = true },
  'table slow': cell => { cell.table.faults.slow = cell.random.integer(100) },
  'table loses answers': cell => { cell.table.faults.loseAnswers = true },
  'table writes late': cell => { cell.table.faults.lateWrites = 1 + cell.random.integer(1500) },
  'table up': cell => { Object.assign(cell.table.faults, noFaults()) },
  'node paused': cell => { cell.pause(cell.random.pick(cell.nodes).id, cell.random.integer(3000)) },
  'node dies': cell => { cell.kill(cell.random.pick(cell.nodes).id) },
  'worker moves': cell => { cell.moveWorker(pickWorker(cell), cell.random.pick(cell.nodes).id, { notifyOwner: cell.random.next() < 0.5 }) },
  'worker unreachable': cell => { faultsOfRandomWorker(cell).unreachable = true },
  'worker loses answers': cell => { faultsOfRandomWorker(cell).loseAnswers = true },
  'worker late': cell => { faultsOfRandomWorker(cell).late = 1 + cell.random.integer(1500) },
  'worker slow': cell => { faultsOfRandomWorker(cell).slow = cell.random.integer(150) },
  'worker hangs': cell => { faultsOfRandomWorker(cell).hung = true },
  'worker killed': cell => { cell.workers.kill(cell.instances.get(pickWorker(cell))!) },
  'way to a worker cut': cell => { cell.random.pick(cell.nodes).unreachableWorkers.add(pickWorker(cell)) },
  'workers well': cell => { healWorkers(cell) },
  'worker gone': cell => { if (cell.instances.size > 2) cell.removeWorker(pickWorker(cell)) },
  'reports lag': cell => { cell.workers.reportLag = cell.random.integer(300) },
  'messages lost': cell => { cell.lossRate = 0.3 },
  'messages doubled': cell => { cell.duplicateRate = 0.5 },
  'messages well': cell => {
    cell.lossRate = 0
    cell.duplicateRate = 0
  },
  cancelled: cell => { cell.random.pick(cell.nodes).jobs.cancel(`j${cell.random.integer(6)}`).catch(() => {}) },
  vacated: cell => {
    const worker = cell.instances.get(pickWorker(cell))!
    for (const node of cell.nodes) node.jobs.vacate(worker).catch(() => {})
  }
}

/** Classes of the runs with an even seed. Tasks of one class preempt those of the others. */
const PREEMPTING_CLASSES = [
  { ...makeClass('audio', 'batch'), priority: 10, ageing: 1000 },
  { ...makeClass('ledger', 'gang'), priority: 50, preempts: 'checkpoint' as const },
  { ...makeClass('desk', 'service'), priority: 30 }
]

function pickWorker (cell: Cell): string {
  return cell.random.pick([...cell.instances.keys()])
}

function faultsOfRandomWorker (cell: Cell): ReturnType<Cell['workers']['faults']> {
  return cell.workers.faults(cell.instances.get(pickWorker(cell))!)
}

function healWorkers (cell: Cell): void {
  for (const node of cell.nodes) node.unreachableWorkers.clear()
  for (const worker of cell.instances.values()) {
    Object.assign(cell.workers.faults(worker), { unreachable: false, loseAnswers: false, late: 0, slow: 0 })
    cell.workers.resume(worker)
  }
}

/** Replaces removed workers, so that every gang fits again and no task stays parked. */
function replaceRemovedWorkers (cell: Cell): void {
  for (let number = cell.instances.size; number < WORKER_COUNT; number++) cell.addWorker(`spare${number}`, { slots: 4, cores: 8, memory: 1000, accelerators: 0 })
  cell.assignUnownedWorkers()
}

function submitAll (cell: Cell): void {
  const kinds: Array<[JobKind, string]> = [['batch', 'audio'], ['gang', 'ledger'], ['batch', 'audio'], ['gang', 'ledger'], ['service', 'desk'], ['batch', 'audio']]
  for (const [number, [kind, name]] of kinds.entries()) {
    const count = 1 + cell.random.integer(kind === 'gang' ? 5 : 4)
    const tasks = Array.from({ length: count }, () => ({
      command: kind === 'service' ? 'serve' : cell.random.next() < 0.15 ? `fail ${cell.random.integer(100)}` : `run ${cell.random.integer(1500)}`,
      resources: { slots: 1, cores: 1 + cell.random.integer(3) }
    }))
    cell.clock.schedule(cell.random.integer(3000), () => { submitUntilAccepted(cell, { id: `j${number}`, kind, class: name, tasks }) })
  }
}

/** Submits the same job again until it is accepted. */
function submitUntilAccepted (cell: Cell, job: unknown): void {
  const retry = (): void => { cell.clock.schedule(200, () => { submitUntilAccepted(cell, job) }) }
  cell.random.pick(cell.nodes).jobs.submit(job).then(result => { if (result.isErr()) retry() }, retry)
}

export async function runChaos (seed: number, options: ConstructorParameters<typeof Cell>[0] = {}): Promise<ChaosReport> {
  const cell = new Cell({ seed, nodes: 3, workers: WORKER_COUNT, ...options })
  const actions: Record<string, number> = {}
  const violations = new Set<string>()
  if (seed % 2 === 0) cell.classes = PREEMPTING_CLASSES
  submitAll(cell)
  for (let step = 0; step < STEP_COUNT; step++) {
    const name = cell.random.pick(Object.keys(ACTIONS))
    actions[name] = (actions[name] ?? 0) + 1
    ACTIONS[name]!(cell)
    await cell.clock.advance(cell.random.integer(MAX_STEP_MS))
    for (const violation of findViolations(cell)) violations.add(violation)
  }
  Object.assign(cell.table.faults, noFaults())
  healWorkers(cell)
  cell.lossRate = 0
  cell.workers.reportLag = 0
  replaceRemovedWorkers(cell)
  await waitUntilEnded(cell)
  for (const violation of findViolations(cell)) violations.add(violation)
  const { runs } = cell.workers
  const unfinished = readTasks(cell).filter(isUnfinished).map(task => `${task.job}/${task.index} ${task.state}`)
  for (const node of cell.nodes) node.gate.kill()
  return { seed, violations: [...violations], unfinished, actions, runs: runs.length, repeats: runs.length - new Set(runs.map(run => run.task)).size }
}

async function waitUntilEnded (cell: Cell): Promise<void> {
  for (let waited = 0; waited < END_TIMEOUT_MS; waited += 1000) {
    cell.random.pick(cell.nodes).jobs.cancel('j4').catch(() => {})
    await cell.clock.advance(1000)
    if (waited > 5000 && readTasks(cell).every(task => !isUnfinished(task))) return
  }
}

function isUnfinished (task: ReturnType<typeof readTasks>[number]): boolean {
  return !['done', 'failed', 'cancelled'].includes(task.state)
}
