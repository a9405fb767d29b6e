import { objectOf, objectsOf, textOf } from '../utils/json.js'
import type { JsonObject } from '../utils/json.js'
import { layOut } from '../utils/table.js'

/**
 * @param answer - what a node tells of its jobs
 * @returns a line for each job
 */
export function renderJobs (answer: unknown): string {
  const jobs = Array.isArray(answer) ? objectsOf(answer) : objectsOf(objectOf(answer).jobs)
  if (jobs.length === 0) return 'no jobs'
  const rows = jobs.map(job => [textOf(job.id), textOf(job.kind), textOf(job.class), textOf(job.team, '-'), textOf(job.state), textOf(job.reason)])
  return layOut([['ID', 'KIND', 'CLASS', 'TEAM', 'STATE', 'REASON'], ...rows]).join('\n')
}

/**
 * @param answer - what a node tells of one job
 * @returns the job and a line for each of its tasks
 */
export function renderJob (answer: unknown): string {
  const job = objectOf(answer)
  const rows = objectsOf(job.tasks).map(task => [textOf(task.index), textOf(task.state), textOf(task.worker) || '-', textOf(task.attempts), textOf(task.reason)])
  const lines = layOut([['TASK', 'STATE', 'WORKER', 'FAILED RUNS', 'REASON'], ...rows])
  return [describe(job), ...lines].join('\n')
}

function describe (job: JsonObject): string {
  const reason = textOf(job.reason)
  const head = `job ${textOf(job.id)}: ${textOf(job.kind)} of class ${textOf(job.class)}, ${textOf(job.state)}`
  return reason === '' ? head : `${head} (${reason})`
}
