import { toObject, toObjects, toText } from '../utils/json.js'
import type { JsonObject } from '../utils/json.js'
import { formatTable } from '../utils/formatTable.js'

/**
 * @param answer - what a node tells of its jobs
 * @returns a line for each job
 */
export function renderJobs (answer: unknown): string {
  const jobs = Array.isArray(answer) ? toObjects(answer) : toObjects(toObject(answer).jobs)
  if (jobs.length === 0) return 'no jobs'
  const rows = jobs.map(job => [toText(job.id), toText(job.kind), toText(job.class), toText(job.team, '-'), toText(job.state), toText(job.reason)])
  return formatTable([['ID', 'KIND', 'CLASS', 'TEAM', 'STATE', 'REASON'], ...rows]).join('\n')
}

/**
 * @param answer - what a node tells of one job
 * @returns the job and a line for each of its tasks
 */
export function renderJob (answer: unknown): string {
  const job = toObject(answer)
  const rows = toObjects(job.tasks).map(task => [toText(task.index), toText(task.state), toText(task.worker) || '-', toText(task.attempts), toText(task.reason)])
  const lines = formatTable([['TASK', 'STATE', 'WORKER', 'FAILED RUNS', 'REASON'], ...rows])
  return [describeJob(job), ...lines].join('\n')
}

function describeJob (job: JsonObject): string {
  const reason = toText(job.reason)
  const summary = `job ${toText(job.id)}: ${toText(job.kind)} of class ${toText(job.class)}, ${toText(job.state)}`
  return reason === '' ? summary : `${summary} (${reason})`
}
