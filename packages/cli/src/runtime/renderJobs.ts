import { toObject, toObjects, toText } from '../utils/json.js'
import type { JsonObject } from '../utils/json.js'
import { formatTable } from '../utils/formatTable.js'

/**
 * Renders the jobs of a cell as a table.
 *
 * @param answer - response of a node: a list of jobs, or an object with the list under `jobs`
 * @returns a header and one line for each job
 */
export function renderJobs (answer: unknown): string {
  const jobs = Array.isArray(answer) ? toObjects(answer) : toObjects(toObject(answer).jobs)
  if (jobs.length === 0) return 'no jobs'
  const rows = jobs.map(job => [toText(job.id), toText(job.kind), toText(job.class), toText(job.team, '-'), toText(job.state), toText(job.reason)])
  return formatTable([['ID', 'KIND', 'CLASS', 'TEAM', 'STATE', 'REASON'], ...rows]).join('\n')
}

/**
 * Renders one job with its tasks.
 *
 * @param answer - response of a node: one job
 * @returns a summary of the job, then a table with one line for each task
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
