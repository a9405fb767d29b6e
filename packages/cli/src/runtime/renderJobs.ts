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
  const rows = jobs.map(job => [textOf(job.id), textOf(job.kind), textOf(job.class), textOf(job.state), countStates(job)])
  return layOut([['ID', 'KIND', 'CLASS', 'STATE', 'TASKS'], ...rows]).join('\n')
}

/**
 * @param answer - what a node tells of one job
 * @returns the job and a line for each of its tasks
 */
export function renderJob (answer: unknown): string {
  const job = objectOf(answer)
  const rows = objectsOf(job.tasks).map(task => [textOf(task.id ?? task.task), textOf(task.state), textOf(task.worker, '-'), textOf(task.reason ?? task.message)])
  const lines = layOut([['TASK', 'STATE', 'WORKER', 'REASON'], ...rows])
  const reason = textOf(job.reason ?? job.message)
  const head = `job ${textOf(job.id)}: ${textOf(job.kind)} of class ${textOf(job.class)}, ${textOf(job.state)}${reason === '' ? '' : ` (${reason})`}`
  return [head, ...lines].join('\n')
}

function countStates (job: JsonObject): string {
  const counts = new Map<string, number>()
  for (const task of objectsOf(job.tasks)) {
    const state = textOf(task.state)
    counts.set(state, (counts.get(state) ?? 0) + 1)
  }
  if (counts.size === 0) return typeof job.tasks === 'object' ? Object.entries(objectOf(job.tasks)).map(([state, count]) => `${textOf(count)} ${state}`).join(', ') : textOf(job.tasks)
  return [...counts].map(([state, count]) => `${count} ${state}`).join(', ')
}
