import { addResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import type { AvailableWorker, Placement } from './packTasks.js'
import { planGang } from './planGang.js'
import { planPreemption } from './planPreemption.js'
import type { BusyWorker, RunningTask } from './planPreemption.js'

/** Expected time in ms from the decision to stop a run until its end is known: workers take up to 200 ms, and messages the rest. */
export const STOP_DURATION_MS = 250
/** Time in ms that a run needs to continue from a checkpoint: the mean of 100 to 600. */
const RESTORE_MS = 350
/** Number of times that a task may be preempted. */
export const MAX_PREEMPTIONS = 2
/** Time in ms for which a task that was preempted before must have run again. */
const MIN_RERUN_MS = 600
/** Time in ms by which a run must be expected to outlast its own stop; with less, waiting for its end costs less than the stop. */
const MIN_GAIN_MS = 250
/** Time in ms by which a preemption delays the victim's job: the stop, the restore and the wait for another worker. */
const VICTIM_DELAY_MS = 1500

/** A run that may be stopped for more urgent work. */
export interface PreemptibleRun {
  id: string
  /** 0 is the most urgent. */
  priority: number
  resources: Resources
  /** Whether the task continues from a checkpoint. */
  checkpoints: boolean
  /** ms of work that a stop loses if the task does not. */
  elapsed: number
  /** Expected ms until the run ends. */
  remaining: number
  /** Number of earlier preemptions of the task. */
  preemptions: number
  /** ms by which the job can be delayed and still be in time; negative if it is late. */
  slack: number
}

/** Resources that a run is expected to release. */
export interface ExpectedRelease {
  /** ms from now. */
  in: number
  resources: Resources
}

/** A worker on which the waiting tasks may run. */
export interface ContendedWorker extends AvailableWorker {
  releases: ExpectedRelease[]
  running: PreemptibleRun[]
}

/** Tasks that lack capacity. */
export interface CapacityRequest {
  /** 0 is the most urgent. */
  priority: number
  tasks: Resources[]
  workers: ContendedWorker[]
  /** ms from now at which the tasks can start at the earliest. */
  earliest: number
  /** ms from now until which the tasks can wait without harm. */
  latest: number
  /** Core-ms of lost work up to which runs may be stopped. */
  maxLoss: number
  /** Cores up to which runs may be stopped. */
  maxCores: number
}

/** Capacity for waiting tasks. */
export interface CapacityChoice {
  placements: Placement[]
  /** Ids of the runs to stop; empty if the tasks fit in time without. */
  victims: string[]
  /** ms from now at which the capacity is expected to be free. */
  startIn: number
  /** Core-ms of work that the stops lose. */
  loss: number
}

/**
 * Chooses the workers for tasks that lack capacity. Nothing is stopped for tasks that can wait for runs to end by themselves. Otherwise the runs with
 * the least lost work are stopped, those with checkpoints first.
 *
 * @param request - the tasks, and the workers with what they run
 * @returns the choice, or `null` if the limits don't allow to free enough
 */
export function chooseCapacity (request: CapacityRequest): CapacityChoice | null {
  const { tasks, workers, earliest, latest } = request
  const waited = planGang({ tasks, workers: workers.map(worker => freeAt(worker, latest)) })
  if (waited !== null) return { placements: waited, victims: [], startIn: latest, loss: 0 }
  const startIn = Math.max(earliest, STOP_DURATION_MS)
  const candidates = new Map<string, RunningTask>()
  const busy: BusyWorker[] = workers.map(worker => ({ ...freeAt(worker, startIn), running: findVictims(worker, startIn, candidates) }))
  const plan = planPreemption({ tasks, priority: -request.priority, preempts: 'stop', workers: busy, startTimeout: Infinity })
  if (plan === null) return null
  const victims = plan.steps.map(step => candidates.get(step.task)!)
  const cores = victims.reduce((sum, { resources }) => sum + resources.cores, 0)
  const loss = victims.reduce((sum, victim) => sum + victim.resources.cores * (victim.checkpoints ? victim.checkpointTime : victim.lost), 0)
  if (loss > request.maxLoss || cores > request.maxCores) return null
  return { placements: plan.placements, victims: victims.map(({ id }) => id), startIn, loss }
}

function freeAt ({ id, total, free, rack, releases }: ContendedWorker, at: number): AvailableWorker {
  return { id, total, rack, free: releases.reduce((sum, release) => release.in <= at ? addResources(sum, release.resources) : sum, free) }
}

function findVictims (worker: ContendedWorker, startIn: number, candidates: Map<string, RunningTask>): RunningTask[] {
  return worker.running.filter(run => mayStop(run, startIn)).map(run => {
    const { id, priority, resources, checkpoints, elapsed } = run
    // Workers of a cell can't throttle a run, so that no speed is left to take.
    const victim = { id, priority: -priority, resources, speed: 0, checkpoints, checkpointTime: STOP_DURATION_MS + RESTORE_MS, lost: STOP_DURATION_MS + elapsed, weight: resources.cores }
    candidates.set(id, victim)
    return victim
  })
}

/** @returns whether a run may be stopped if it is less urgent: it runs on for a while, and was not stopped too often; its job doesn't become late by it */
function mayStop ({ remaining, preemptions, elapsed, slack }: PreemptibleRun, startIn: number): boolean {
  if (remaining < startIn + MIN_GAIN_MS) return false
  if (preemptions >= MAX_PREEMPTIONS || (preemptions > 0 && elapsed < MIN_RERUN_MS)) return false
  return slack < 0 || slack >= VICTIM_DELAY_MS
}
