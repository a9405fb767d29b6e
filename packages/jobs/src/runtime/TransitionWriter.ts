import { Chart } from '@rattanstep/core'
import type { ChartFile, Row } from '@rattanstep/core'
import taskChart from '../charts/task.json' with { type: 'json' }
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import type { TaskEvent, JobTaskState } from '../types/job.js'
import { claimKey, PLACEMENT_ROW, placementKey, TASK_ROW, taskKey } from '../types/rows.js'
import type { PlacementRow, TaskRow } from '../types/rows.js'
import { parseRow } from '../utils/parseRow.js'
import type { Change, TableWriter } from './TableWriter.js'

/** An event to apply to one task. */
export interface TaskTransition {
  job: string
  index: number
  /** Fencing token of the placement that the event belongs to; a task with another token is left unchanged. `null` for any. */
  fence: number | null
  event: TaskEvent
  /** Fields of the task row to replace. */
  patch?: Partial<TaskRow>
  /** Claim under which the supervisor of the worker acts; the transaction checks the version of the claim row. */
  claim?: { worker: string, version: number }
}

/**
 * Result of a transition. `stale`: the task has moved on, so that the event no longer applies; nothing was written. The other
 * values are those of `CommitResult`.
 */
export type TransitionOutcome = 'committed' | 'stale' | 'conflict' | 'unavailable' | 'undecided'

/** State machine of a task. */
export const TASK_CHART = new Chart<JobTaskState, TaskEvent>(taskChart as ChartFile)

const STATES_OFF_WORKER = new Set<JobTaskState>(['pending', 'parked', 'done', 'failed', 'cancelled'])
const MAX_KEYS_PER_READ = 200
const MAX_AVOIDED_WORKERS = 4

/** Applies events to tasks. Each event changes the task row and the placement row in one transaction. */
export class TransitionWriter {
  private readonly context: Context
  private readonly writer: TableWriter

  /** @param options - shared dependencies, and the writer of the table */
  constructor (options: { context: Context, writer: TableWriter }) {
    this.context = options.context
    this.writer = options.writer
  }

  /**
   * @param transitions - events to apply, at most one per task
   * @returns result of each transition, in the same order
   */
  async apply (transitions: TaskTransition[]): Promise<TransitionOutcome[]> {
    const tasks = await this.readRows(transitions.map(transition => taskKey(transition.job, transition.index)))
    if (tasks === null) return transitions.map(() => 'unavailable')
    const parsed = transitions.map(transition => this.parseTask(tasks.get(taskKey(transition.job, transition.index))))
    const placements = await this.readRows(parsed.flatMap(task => isPlaced(task?.content) ? [placementKeyFor(task!.content)] : []))
    if (placements === null) return transitions.map(() => 'unavailable')
    return await Promise.all(transitions.map(async (transition, number) => {
      const task = parsed[number]
      if (task === null || task === undefined) return 'stale'
      return await this.applyOne(transition, task, placements.get(placementKeyFor(task.content)))
    }))
  }

  private async applyOne (transition: TaskTransition, task: ParsedTask, placementRow: Row | undefined): Promise<TransitionOutcome> {
    const { content } = task
    if (transition.fence !== null && content.fence !== transition.fence) return 'stale'
    if (transition.claim !== undefined && content.worker !== transition.claim.worker) return 'stale'
    const event = this.resolveEvent(transition.event, content)
    const state = TASK_CHART.next(content.state, event)
    if (state === null) return 'stale'
    const change: Change = { checks: [{ key: task.row.key, version: task.row.version }], writes: [] }
    const next: TaskRow = { ...content, ...this.retryFields(event, content), ...transition.patch, state }
    if (state === 'pending' || state === 'parked') next.worker = ''
    change.writes.push({ key: task.row.key, value: JSON.stringify(next) })
    if (transition.claim !== undefined) change.checks.push({ key: claimKey(transition.claim.worker), version: transition.claim.version })
    if (isPlaced(content) && !this.addPlacementChange(change, placementRow, state)) return 'stale'
    return (await this.writer.write(change)).outcome
  }

  private addPlacementChange (change: Change, row: Row | undefined, state: JobTaskState): boolean {
    if (row === undefined) return false
    change.checks.push({ key: row.key, version: row.version })
    if (STATES_OFF_WORKER.has(state)) {
      change.writes.push({ key: row.key, value: null })
      return true
    }
    const placement = parseRow(row, PLACEMENT_ROW)
    if (placement.isErr()) return false
    const intent: PlacementRow['intent'] = state === 'cancelling' ? 'cancel' : 'vacate'
    change.writes.push({ key: row.key, value: JSON.stringify({ ...placement.value, intent }) })
    return true
  }

  private resolveEvent (event: TaskEvent, task: TaskRow): TaskEvent {
    const { maxAttempts, maxLosses } = this.context.tuning
    if (task.kind === 'service') return event === 'finish' ? 'retry' : event
    if (event === 'retry' && task.attempts + 1 >= maxAttempts) return 'exhaust'
    if (event === 'lose' && task.losses + 1 >= maxLosses) return 'exhaust'
    return event
  }

  private retryFields (event: TaskEvent, task: TaskRow): Partial<TaskRow> {
    if (event === 'lose') return { losses: task.losses + 1, notBefore: this.nextAttemptAt(task.losses) }
    if (event !== 'retry' && event !== 'exhaust') return {}
    const avoid = [...task.avoid.filter(worker => worker !== task.worker), task.worker].slice(-MAX_AVOIDED_WORKERS)
    return { attempts: task.attempts + 1, notBefore: this.nextAttemptAt(task.attempts), avoid }
  }

  private nextAttemptAt (failures: number): number {
    const { clock, random, tuning } = this.context
    return clock.wall() + random.jitter(Math.min(tuning.minBackoff * 2 ** Math.min(failures, 20), tuning.maxBackoff))
  }

  private parseTask (row: Row | undefined): ParsedTask | null {
    if (row === undefined) return null
    const content = parseRow(row, TASK_ROW)
    if (content.isOk()) return { row, content: content.value }
    this.context.log.write(EVENTS.badRow, { key: row.key, problem: content.error })
    return null
  }

  private async readRows (keys: string[]): Promise<Map<string, Row> | null> {
    const found = new Map<string, Row>()
    for (let from = 0; from < keys.length; from += MAX_KEYS_PER_READ) {
      const rows = await this.context.table.read(keys.slice(from, from + MAX_KEYS_PER_READ))
      if (rows.isErr()) return null
      for (const row of rows.value) found.set(row.key, row)
    }
    return found
  }
}

interface ParsedTask {
  row: Row
  content: TaskRow
}

function isPlaced (task: TaskRow | undefined): boolean {
  return task !== undefined && !STATES_OFF_WORKER.has(task.state)
}

function placementKeyFor (task: TaskRow): string {
  return placementKey(task.worker, task.job, task.index)
}
