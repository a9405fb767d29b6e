import type { TaskRun } from '@rattanstep/stand-ins'
import type { Cluster } from './Cluster.js'

/**
 * Finds tasks that ran in two places at once, tasks that failed, and protocol violations seen by the workers.
 *
 * @param cluster - a simulated cell
 * @returns one description for each violation
 */
export function findTaskViolations (cluster: Cluster): string[] {
  const { endpoints, platform } = cluster.environment
  const byTask = new Map<string, TaskRun[]>()
  for (const run of endpoints.runs) byTask.set(run.task, [...byTask.get(run.task) ?? [], run])
  const overlaps = [...byTask.values()].flatMap(findOverlaps)
  const failed = platform.table.peek('task/')
    .filter(row => (JSON.parse(row.value) as { state: string }).state === 'failed')
    .map(row => `${row.key} failed: ${row.value}`)
  return [...overlaps, ...endpoints.violations, ...failed]
}

function findOverlaps (runs: TaskRun[]): string[] {
  const sorted = [...runs].sort((a, b) => a.from - b.from)
  return sorted.slice(1).flatMap((run, number) => {
    const previous = sorted[number]!
    if (run.from >= (previous.until ?? Infinity)) return []
    return [`${run.task} ran on ${previous.worker} at fence ${previous.fence} and on ${run.worker} at fence ${run.fence} at once`]
  })
}
