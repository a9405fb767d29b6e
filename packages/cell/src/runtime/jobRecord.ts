import type { Registry } from './Registry.js'
import type { JobState, Task } from './model.js'

/** State of one task on record: run, worker or '', failures, 1 when done, checkpoint. */
type TaskRecord = [number, string, number, number, string]

/** State of a job on record. */
export interface JobRecord {
  phase: JobState['phase']
  /** Occurrence, step, task. Left out for jobs that have ended. */
  tasks?: TaskRecord[][][]
}

/**
 * @param state - a job
 * @returns what goes on record of it
 */
export function encodeJobRecord (state: JobState): string {
  const record: JobRecord = { phase: state.phase }
  if (state.phase === 'open' || hasRuns(state)) {
    record.tasks = state.occurrences.map(occurrence => occurrence.steps.map(step => step.tasks.map(task =>
      [task.run, task.worker?.report.id ?? '', task.failures, task.phase === 'done' ? 1 : 0, task.checkpoint])))
  }
  return JSON.stringify(record)
}

/**
 * Brings a job to the state on record.
 *
 * @param registry - the book that the job is in
 * @param state - the job, as handed in
 * @param record - what is on record
 * @returns recorded runs that are not known to be over, with the worker of each
 */
export function applyRecord (registry: Registry, state: JobState, record: JobRecord): Array<{ task: Task, worker: string }> {
  const runs: Array<{ task: Task, worker: string }> = []
  record.tasks?.forEach((steps, occurrence) => steps.forEach((tasks, step) => tasks.forEach((entry, index) => {
    const task = state.occurrences[occurrence]?.steps[step]?.tasks[index]
    if (task === undefined) return
    const [run, worker, failures, done, checkpoint] = entry
    Object.assign(task, { run, failures, checkpoint })
    if (run > 0) registry.markStarted(state)
    if (done === 1) {
      task.phase = 'done'
      task.step.doneTasks++
    } else if (worker !== '') runs.push({ task, worker })
  })))
  state.phase = record.phase
  if (record.phase !== 'open') {
    registry.markStarted(state)
    state.visiblePhase = record.phase
  }
  for (const occurrence of state.occurrences) {
    occurrence.doneSteps = occurrence.steps.filter(step => step.doneTasks === step.tasks.length).length
    registry.updateReadySteps(occurrence)
  }
  return runs
}

/** @returns whether a run of the job is not known to be over */
export function hasRuns (state: JobState): boolean {
  return state.occurrences.some(occurrence => occurrence.steps.some(step => step.tasks.some(task => task.worker !== undefined)))
}
