import type { JobPhase } from '../types/job.js'
import { isStepDone } from './Registry.js'
import type { Registry } from './Registry.js'
import type { Crash, CrashCertainty, JobOccurrence, JobState, StepState, Task, WorkerState } from './model.js'

/**
 * Recorded state of a task: 0 if it has not run, 1 if it is done, or else number of the last run, worker or '', failures, 0, checkpoint, tag
 * of the worker's incarnation, crashes, number of the last run that is known to have begun, ms left of the lease if it may be longer than usual. Trailing elements that are 0 or empty are omitted,
 * and so are tasks that have not run at the end of a step, but for one. Records of earlier versions contain the first five
 * elements, and 1 as the fourth if the task is done.
 */
type TaskRecord = 0 | 1 | [run: number, worker?: string, failures?: number, done?: number, checkpoint?: string, incarnation?: number, crashes?: CrashRecord[], begunRun?: number, leaseLeft?: number]

/** Recorded crash; the last element is 1 if only tasks of the same job ran on the worker. */
type CrashRecord = [worker: string, incarnation: number, run: number, certainty: number, isAlone: 0 | 1]

/** Certainties by their number in records. */
const CERTAINTIES: readonly CrashCertainty[] = ['possible', 'presumed', 'confirmed', 'excused']

/** Recorded run that is not known to have ended. */
export interface RecordedRun {
  task: Task
  /** Id of the worker. */
  worker: string
  /** ms left of the worker's leases when the record was written, or 0 if they are not longer than usual. */
  leaseLeft: number
}

/** Recorded state of a job. */
export interface JobRecord {
  phase: JobState['phase']
  /** Open occurrences with their steps and tasks. Absent if the job has ended and all its runs are known to have ended. */
  tasks?: TaskRecord[][][]
  /** For a scheduled job, numbers of the open occurrences. Records of earlier versions lack them, and their `tasks` contain all occurrences. */
  occurrences?: number[]
  /** For a scheduled job, number of the next occurrence to create. */
  next?: number
  /** Number of the last run of each gang that was counted as a failure, by open occurrence and step. Absent if there is none. */
  failedRuns?: number[][]
  /** Whether the job was submitted beyond the rate of its organisation; absent if not. */
  beyondRate?: 1
}

/**
 * @param state - state of a job
 * @param now - monotonic ms
 * @returns the value of the job's record
 */
export function encodeJobRecord (state: JobState, now: number): string {
  const record: JobRecord = { phase: state.phase }
  if (state.phase === 'open' || hasRuns(state)) {
    record.tasks = state.occurrences.map(occurrence => occurrence.steps.map(step => encodeTasks(step, now)))
    const failedRuns = state.occurrences.map(occurrence => occurrence.steps.map(step => step.lastFailedRun))
    if (failedRuns.flat().some(run => run > 0)) record.failedRuns = failedRuns
    if (state.isBeyondRate) record.beyondRate = 1
    if (state.job.repeat !== undefined) Object.assign(record, { occurrences: state.occurrences.map(({ index }) => index), next: state.nextOccurrence })
  }
  return JSON.stringify(record)
}

/** @returns the records of a step's tasks; of those that wait at its end, at most one is recorded */
function encodeTasks (step: StepState, now: number): TaskRecord[] {
  const records = step.tasks.map(task => task === undefined ? 1 : encodeTask(task, now))
  return step.tasks.untouched > 0 ? [...records, 0] : records
}

function encodeTask ({ phase, run, worker, failures, checkpoint, incarnation, crashes, begunRun }: Task, now: number): TaskRecord {
  if (phase === 'done' && worker === undefined) return 1
  if (run === 0) return 0
  const record: TaskRecord = [run, worker?.report.id ?? '', failures, phase === 'done' ? 1 : 0, checkpoint, worker === undefined ? 0 : incarnation, crashes.map(encodeCrash), begunRun, leaseLeftOf(worker, now)]
  while (isEmpty(record.at(-1))) record.pop()
  return record
}

/** @returns ms until the bound of the worker's leases, or 0 if a successor has no reason to expect longer leases than usual */
function leaseLeftOf (worker: WorkerState | undefined, now: number): number {
  return worker?.leaseGrant.source === 'former-incarnation' ? Math.max(0, Math.ceil(worker.leasesExpireAt - now)) : 0
}

function isEmpty (element: string | number | CrashRecord[] | undefined): boolean {
  return element === 0 || element === '' || (Array.isArray(element) && element.length === 0)
}

function encodeCrash ({ worker, incarnation, run, certainty, isAlone }: Crash): CrashRecord {
  return [worker, incarnation, run, CERTAINTIES.indexOf(certainty), isAlone ? 1 : 0]
}

function decodeCrash ([worker, incarnation, run, certainty, isAlone]: CrashRecord): Crash {
  return { worker, incarnation, run, certainty: CERTAINTIES[certainty] ?? 'possible', isAlone: isAlone === 1 }
}

/** @returns the phase that a job's record shows: any record of an open job shows it as running */
export function recordedPhase ({ phase }: { phase: JobState['phase'] }): JobPhase {
  return phase === 'open' ? 'running' : phase
}

/**
 * Restores the recorded state of a job.
 *
 * @param registry - registry that contains the job
 * @param state - state of the job, as submitted
 * @param record - record of the job
 * @returns recorded runs that are not known to have ended
 */
export function applyRecord (registry: Registry, state: JobState, record: JobRecord): RecordedRun[] {
  const runs: RecordedRun[] = []
  const occurrences = state.job.repeat === undefined ? state.occurrences : restoreOccurrences(registry, state, record)
  record.tasks?.forEach((steps, occurrence) => {
    steps.forEach((tasks, index) => {
      const step = occurrences[occurrence]?.steps[index]
      if (step !== undefined) runs.push(...restoreTasks(registry, step, tasks))
    })
  })
  record.failedRuns?.forEach((steps, occurrence) => steps.forEach((run, index) => {
    const step = occurrences[occurrence]?.steps[index]
    if (step !== undefined) step.lastFailedRun = run
  }))
  state.isBeyondRate = record.beyondRate === 1
  state.phase = record.phase
  if (record.phase !== 'open') {
    registry.markStarted(state)
    state.visiblePhase = record.phase
  }
  for (const occurrence of state.occurrences) {
    occurrence.doneSteps = occurrence.steps.filter(isStepDone).length
    registry.updateReadySteps(occurrence)
  }
  return runs
}

/** @returns recorded runs of a step that are not known to have ended. Tasks that wait at its end get no objects. */
function restoreTasks (registry: Registry, step: StepState, records: TaskRecord[]): RecordedRun[] {
  const runs: RecordedRun[] = []
  const { tasks, occurrence: { job } } = step
  const end = Math.min(tasks.length, 1 + records.findLastIndex(record => record !== 0))
  for (let index = 0; index < end; index++) {
    const record = records[index]!
    if (record === 1) {
      tasks.skipDone()
      step.doneTasks++
      registry.markStarted(job)
      continue
    }
    const task = tasks.at(index)!
    const [run, worker = '', failures = 0, done = 0, checkpoint = '', incarnation = 0, crashes = [], begunRun = 0, leaseLeft = 0] = record === 0 ? [0] : record
    Object.assign(task, { run, begunRun, failures, checkpoint, incarnation, crashes: crashes.map(decodeCrash) })
    if (begunRun > 0 || failures > 0 || done === 1 || checkpoint !== '') registry.markStarted(job)
    // Callers may have been shown the placement, even if its order was never sent.
    else if (run > 0) job.visiblePhase = 'running'
    if (done === 1) {
      task.phase = 'done'
      step.doneTasks++
      tasks.release(task)
    } else if (worker !== '') runs.push({ task, worker, leaseLeft })
  }
  return runs
}

/** @returns the open occurrences of a scheduled job by their place in the record; places of others are empty */
function restoreOccurrences (registry: Registry, state: JobState, { tasks = [], occurrences, next }: JobRecord): Array<JobOccurrence | undefined> {
  state.nextOccurrence = next ?? 1 + tasks.findLastIndex(steps => steps.flat().some(task => task !== 0))
  return tasks.map((steps, place) => {
    const number = occurrences?.[place] ?? place
    const isOpen = number < state.nextOccurrence && steps.flat().some(task => task !== 1)
    return isOpen ? registry.restoreOccurrence(state, number) : undefined
  })
}

/** @returns whether the job has a run that is not known to have ended */
export function hasRuns (state: JobState): boolean {
  return state.occurrences.some(occurrence => occurrence.steps.some(step => step.tasks.hasRuns))
}

/** @returns whether a record has a run that is not known to have ended */
export function hasRecordedRuns ({ tasks = [] }: JobRecord): boolean {
  return tasks.some(steps => steps.some(step => step.some(task => typeof task !== 'number' && (task[1] ?? '') !== '')))
}
