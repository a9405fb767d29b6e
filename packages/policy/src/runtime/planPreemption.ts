import { addResources, fitsResources, NO_RESOURCES, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import type { ResolvedClass } from '@rattanstep/rules'
import type { AvailableWorker, Placement } from './packTasks.js'
import { sortByWorker, planGang } from './planGang.js'

/** Time within which urgent work must start, including preemption. */
export const START_TIMEOUT_MS = 1600

/** Speed of a throttled task, as a fraction of full speed. */
export const THROTTLED_SPEED = 0.25

/** Time reserved for messages and for starting the work. */
const START_OVERHEAD_MS = 100

/** Factor by which a checkpoint may take longer than expected. */
const CHECKPOINT_SLACK = 1.3

/** A task that runs on a worker. */
export interface RunningTask {
  id: string
  priority: number
  resources: Resources
  /** From 0 to 1; 1 is full speed. */
  speed: number
  /** Whether the task can write checkpoints. */
  checkpoints: boolean
  /** Expected duration of a checkpoint in ms. */
  checkpointTime: number
  /** Work in ms that a stop would lose. */
  lost: number
  /** Cost of each ms that is lost; 1 by default. */
  weight?: number
}

/** A worker with its free resources and the tasks that it runs. */
export interface BusyWorker extends AvailableWorker {
  running: RunningTask[]
}

/** Preemption of one task. */
export interface PreemptionStep {
  kind: 'throttle' | 'checkpoint' | 'stop'
  task: string
  worker: string
}

/** Steps that free capacity, and the placements that use it. */
export interface PreemptionPlan {
  steps: PreemptionStep[]
  placements: Placement[]
}

/** Options of `planPreemption`. */
export interface PreemptionOptions {
  tasks: Resources[]
  priority: number
  preempts: ResolvedClass['preempts']
  workers: BusyWorker[]
  /** Time in ms within which the tasks must start; `START_TIMEOUT_MS` by default. */
  startTimeout?: number
}

/** Number of workers considered first, and the factor by which it grows while they have too little capacity. */
const INITIAL_WORKER_COUNT = 64
const WORKER_COUNT_GROWTH = 4

/** Cost of a step, and of each point of its task's priority, in addition to the lost time in ms. */
const STEP_COST = 1e3
const PRIORITY_COST = 1e6

type StepKind = PreemptionStep['kind']

/** Kinds of step that are tried together, mildest stage first. */
const STAGES: StepKind[][] = [['throttle'], ['throttle', 'checkpoint'], ['throttle', 'checkpoint', 'stop']]

/** Number of stages that a class may use. */
const ALLOWED_STAGES: Record<ResolvedClass['preempts'], number> = { nothing: 0, throttle: 1, checkpoint: 2, stop: 3 }

/**
 * Plans which tasks of lower priority are preempted so that all given tasks start in time. The mildest stage that frees
 * enough capacity is used. Within it, tasks are placed largest first, each on the worker where it costs the least.
 *
 * @param options - tasks to start, and workers with what they run
 * @returns the plan, or `null` when the allowed steps do not free enough capacity for all tasks
 */
export function planPreemption (options: PreemptionOptions): PreemptionPlan | null {
  const free = planGang(options)
  if (free !== null) return { steps: [], placements: free }
  const stepTimeout = (options.startTimeout ?? START_TIMEOUT_MS) - START_OVERHEAD_MS
  for (const stage of STAGES.slice(0, ALLOWED_STAGES[options.preempts])) {
    const plan = planWithSubsets(options, stage, stepTimeout)
    if (plan !== null) return plan
  }
  return null
}

/** A step with what it frees and costs. */
interface CostedStep extends PreemptionStep {
  freed: Resources
  priority: number
  cost: number
}

/** State of a worker during planning. */
interface Candidate {
  id: string
  free: Resources
  steps: CostedStep[]
}

/** Steps that make one task fit on one worker, and their cost. */
interface PlacementCost {
  steps: CostedStep[]
  cost: number
}

/** Considers growing subsets of the workers, so that planning stays fast in a large cell. */
function planWithSubsets (options: PreemptionOptions, kinds: StepKind[], stepTimeout: number): PreemptionPlan | null {
  const workers = kinds.length === 1 ? options.workers.filter(worker => fitsExceptCores(options.tasks, worker)) : options.workers
  if (workers.length === 0) return null
  for (let count = INITIAL_WORKER_COUNT; ; count *= WORKER_COUNT_GROWTH) {
    const plan = planStage({ ...options, workers: workers.slice(0, count) }, kinds, stepTimeout)
    if (plan !== null || count >= workers.length) return plan
  }
}

/** Returns whether a task fits except for cores: throttling frees cores only, so all other resources must be free. */
function fitsExceptCores (tasks: Resources[], worker: BusyWorker): boolean {
  const { slots, memory, accelerators } = worker.free
  return tasks.some(task => task.slots <= slots && task.memory <= memory && task.accelerators <= accelerators)
}

function planStage (options: PreemptionOptions, kinds: StepKind[], stepTimeout: number): PreemptionPlan | null {
  const candidates = options.workers.map(worker => createCandidate(worker, options.priority, kinds, stepTimeout))
  const steps: PreemptionStep[] = []
  const placements: Placement[] = []
  let costs: Array<PlacementCost | null> = []
  let task: Resources | null = null
  for (const index of largestFirst(options.tasks)) {
    const next = options.tasks[index]!
    if (task === null || !isSame(task, next)) costs = candidates.map(candidate => costPlacement(candidate, next))
    task = next
    const cheapest = findCheapest(costs)
    if (cheapest === null) return null
    const candidate = candidates[cheapest]!
    const taken = costs[cheapest]!.steps
    applySteps(candidate, next, taken)
    costs[cheapest] = costPlacement(candidate, next)
    steps.push(...taken.map(({ kind, task: id, worker }) => ({ kind, task: id, worker })))
    placements.push({ index, worker: candidate.id })
  }
  return { steps, placements: sortByWorker(placements) }
}

function createCandidate (worker: BusyWorker, priority: number, kinds: StepKind[], stepTimeout: number): Candidate {
  const steps: CostedStep[] = []
  for (const task of worker.running) {
    const step = task.priority < priority ? strongestStep(worker.id, task, kinds, stepTimeout) : null
    if (step !== null) steps.push(step)
  }
  steps.sort((a, b) => a.priority - b.priority || a.cost - b.cost)
  return { id: worker.id, free: worker.free, steps }
}

function strongestStep (worker: string, task: RunningTask, kinds: StepKind[], stepTimeout: number): CostedStep | null {
  const { id, priority, resources, weight = 1 } = task
  const checkpointInTime = task.checkpoints && task.checkpointTime * CHECKPOINT_SLACK <= stepTimeout
  if (kinds.includes('checkpoint') && checkpointInTime) {
    return { kind: 'checkpoint', task: id, worker, priority, freed: resources, cost: weight * task.checkpointTime }
  }
  if (kinds.includes('stop')) return { kind: 'stop', task: id, worker, priority, freed: resources, cost: weight * task.lost }
  if (kinds.includes('throttle') && task.speed > THROTTLED_SPEED) {
    const cores = resources.cores * (task.speed - THROTTLED_SPEED)
    return { kind: 'throttle', task: id, worker, priority, freed: { ...NO_RESOURCES, cores }, cost: 0 }
  }
  return null
}

/** Adds the cheapest steps until the task fits, then removes those that are not needed. */
function costPlacement (candidate: Candidate, need: Resources): PlacementCost | null {
  let free = candidate.free
  const steps: CostedStep[] = []
  for (const step of candidate.steps) {
    if (fitsResources(need, free)) break
    free = addResources(free, step.freed)
    steps.push(step)
  }
  if (!fitsResources(need, free)) return null
  const kept: CostedStep[] = []
  for (const step of steps.reverse()) {
    const less = subtractResources(free, step.freed)
    if (fitsResources(need, less)) free = less
    else kept.push(step)
  }
  return { steps: kept, cost: kept.reduce((sum, step) => sum + STEP_COST + step.priority * PRIORITY_COST + step.cost, 0) }
}

function applySteps (candidate: Candidate, task: Resources, steps: CostedStep[]): void {
  for (const step of steps) candidate.free = addResources(candidate.free, step.freed)
  candidate.free = subtractResources(candidate.free, task)
  candidate.steps = candidate.steps.filter(step => !steps.includes(step))
}

function findCheapest (costs: Array<PlacementCost | null>): number | null {
  let best: number | null = null
  let least = Infinity
  costs.forEach((placementCost, index) => {
    if (placementCost === null || placementCost.cost >= least) return
    best = index
    least = placementCost.cost
  })
  return best
}

/** Sorts by a weighted size in which slots and accelerators count most, then cores, then memory. */
function largestFirst (tasks: Resources[]): number[] {
  const size = (task: Resources): number => task.slots * 1e6 + task.accelerators * 1e6 + task.cores * 1e3 + task.memory / 1e3
  return [...tasks.keys()].sort((a, b) => size(tasks[b]!) - size(tasks[a]!))
}

function isSame (a: Resources, b: Resources): boolean {
  return fitsResources(a, b) && fitsResources(b, a)
}
