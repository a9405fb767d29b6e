import { addResources, fitsResources, NO_RESOURCES } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import type { ResolvedClass } from '@rattanstep/rules'
import type { OpenWorker, Placement } from './packTasks.js'
import { planGang } from './planGang.js'

/** Milliseconds within which urgent work starts, preemption included. */
export const START_WITHIN = 1600

/** Speed at which a throttled task goes on. */
export const THROTTLED_SPEED = 0.25

/** Milliseconds kept for messages and the start itself. */
const START_COST = 300

/** A task that runs on a worker. */
export interface RunningTask {
  id: string
  priority: number
  resources: Resources
  /** From 0 to 1; 1 is full speed. */
  speed: number
  /** Whether it can write a checkpoint. */
  checkpoints: boolean
  /** Milliseconds that a checkpoint is expected to take. */
  checkpointTime: number
  /** Milliseconds of work that a stop would lose. */
  lost: number
}

/** A worker with its room and what runs there. */
export interface BusyWorker extends OpenWorker {
  running: RunningTask[]
}

/** What is done to a task to make room. */
export interface PreemptionStep {
  kind: 'throttle' | 'checkpoint' | 'stop'
  task: string
  worker: string
}

/** Steps that make room, and where the work then goes. */
export interface PreemptionPlan {
  steps: PreemptionStep[]
  placements: Placement[]
}

/** What is to start and what may suffer for it. */
export interface PreemptionOptions {
  tasks: Resources[]
  priority: number
  preempts: ResolvedClass['preempts']
  workers: BusyWorker[]
  /** Milliseconds within which all steps must have taken effect. */
  within?: number
}

type StepKind = PreemptionStep['kind']

const STAGES: StepKind[][] = [['throttle'], ['throttle', 'checkpoint'], ['throttle', 'checkpoint', 'stop']]

const ALLOWED: Record<ResolvedClass['preempts'], number> = { nothing: 0, throttle: 1, checkpoint: 2, stop: 3 }

/**
 * Plans what lower work must suffer so that all tasks given start in time. The mildest stage that makes enough room is
 * taken, then steps that turn out to be needless are left out.
 *
 * @param options - what is to start and what runs
 * @returns the plan, or `null` when no allowed steps make room for all
 */
export function planPreemption (options: PreemptionOptions): PreemptionPlan | null {
  const free = planGang(options)
  if (free !== null) return { steps: [], placements: free }
  const within = (options.within ?? START_WITHIN) - START_COST
  for (const kinds of STAGES.slice(0, ALLOWED[options.preempts])) {
    const steps = possibleSteps(options, kinds, within)
    const plan = prune(options, steps)
    if (plan !== null) return plan
  }
  return null
}

interface Step extends PreemptionStep {
  gain: Resources
  priority: number
  cost: number
}

function possibleSteps (options: PreemptionOptions, kinds: StepKind[], within: number): Step[] {
  const steps: Step[] = []
  for (const worker of options.workers) {
    for (const task of worker.running) {
      if (task.priority >= options.priority) continue
      const step = strongestStep(worker.id, task, kinds, within)
      if (step !== null) steps.push(step)
    }
  }
  return steps
}

function strongestStep (worker: string, task: RunningTask, kinds: StepKind[], within: number): Step | null {
  const base = { task: task.id, worker, priority: task.priority }
  const fast = task.checkpoints && task.checkpointTime <= within
  if (kinds.includes('checkpoint') && fast) {
    return { ...base, kind: 'checkpoint', gain: task.resources, cost: task.checkpointTime }
  }
  if (kinds.includes('stop')) return { ...base, kind: 'stop', gain: task.resources, cost: task.lost }
  if (kinds.includes('throttle') && task.speed > THROTTLED_SPEED) {
    const cores = task.resources.cores * (task.speed - THROTTLED_SPEED)
    return { ...base, kind: 'throttle', gain: { ...NO_RESOURCES, cores }, cost: 0 }
  }
  return null
}

function prune (options: PreemptionOptions, possible: Step[]): PreemptionPlan | null {
  let steps = relevant(options, possible)
  if (placeAfter(options, steps) === null) return null
  const dearestFirst = [...steps].sort((a, b) => b.priority - a.priority || b.cost - a.cost)
  for (const step of dearestFirst) {
    const fewer = steps.filter(other => other !== step)
    if (placeAfter(options, fewer) !== null) steps = fewer
  }
  const placements = placeAfter(options, steps)
  if (placements === null) return null
  return { steps: steps.map(({ kind, task, worker }) => ({ kind, task, worker })), placements }
}

/** Keeps the workers that need the least of their tasks to suffer, as many as there are tasks to start. */
function relevant (options: PreemptionOptions, steps: Step[]): Step[] {
  const most = largest(options.tasks)
  const byWorker = new Map<string, Step[]>()
  for (const step of steps) {
    const list = byWorker.get(step.worker) ?? []
    list.push(step)
    byWorker.set(step.worker, list)
  }
  const workers = options.workers.filter(worker => byWorker.has(worker.id) || fitsResources(most, worker.free))
  const cost = (worker: BusyWorker): number => costToFit(worker, byWorker.get(worker.id) ?? [], most)
  const ranked = workers.map(worker => ({ id: worker.id, cost: cost(worker) })).sort((a, b) => a.cost - b.cost)
  const chosen = new Set(ranked.slice(0, options.tasks.length).map(({ id }) => id))
  const narrow = steps.filter(step => chosen.has(step.worker))
  return placeAfter(options, narrow) === null ? steps : narrow
}

function costToFit (worker: BusyWorker, steps: Step[], need: Resources): number {
  let free = worker.free
  let cost = 0
  const cheapest = [...steps].sort((a, b) => a.priority - b.priority || a.cost - b.cost)
  for (const step of cheapest) {
    if (fitsResources(need, free)) return cost
    free = addResources(free, step.gain)
    cost += 1 + step.priority * 1e6 + step.cost
  }
  return fitsResources(need, free) ? cost : Infinity
}

function placeAfter (options: PreemptionOptions, steps: Step[]): Placement[] | null {
  const gains = new Map<string, Resources>()
  for (const step of steps) gains.set(step.worker, addResources(gains.get(step.worker) ?? NO_RESOURCES, step.gain))
  const workers = options.workers.map(worker => ({ ...worker, free: addResources(worker.free, gains.get(worker.id) ?? NO_RESOURCES) }))
  return planGang({ tasks: options.tasks, workers })
}

function largest (tasks: Resources[]): Resources {
  const most = { ...NO_RESOURCES }
  for (const task of tasks) {
    most.slots = Math.max(most.slots, task.slots)
    most.cores = Math.max(most.cores, task.cores)
    most.memory = Math.max(most.memory, task.memory)
    most.accelerators = Math.max(most.accelerators, task.accelerators)
  }
  return most
}
