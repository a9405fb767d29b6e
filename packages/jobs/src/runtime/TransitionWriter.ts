import { Chart } from '@rattanstep/core'
import type { ChartFile, Row } from '@rattanstep/core'
import taskChart from '../charts/task.json' with { type: 'json' }
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import type { TaskEvent, TaskLife } from '../types/job.js'
import { keeperKey, PLACEMENT_ROW, placementKey, TASK_ROW, taskKey } from '../types/rows.js'
import type { PlacementRow, TaskRow } from '../types/rows.js'
import { parseRow } from '../utils/parseRow.js'
import type { Change, TableWriter } from './TableWriter.js'

/** Something that happened to one task. */
export interface Step {
  job: string
  index: number
  /** Placement that it happened to; a task at another fence is left alone. `null` for any. */
  fence: number | null
  event: TaskEvent
  patch?: Partial<TaskRow>
  /** Version of the keeper row under which the owner of the worker acts. */
  keeper?: { worker: string, version: number }
}

/**
 * What became of a step. `stale`: the task is no longer where the step assumed it.
 */
export type StepOutcome = 'committed' | 'stale' | 'conflict' | 'unavailable' | 'undecided'

/** Chart of a task's life. */
export const TASK_CHART = new Chart<TaskLife, TaskEvent>(taskChart as ChartFile)

const OFF_WORKER = new Set<TaskLife>(['pending', 'parked', 'done', 'failed', 'cancelled'])
const READ_KEYS = 200
const MAX_AVOIDED = 4

/** Applies events to tasks, each with the row of its placement in one change. */
export class Transitions {
  private readonly context: Context
  private readonly writer: TableWriter

  /** @param options - where to read and write */
  constructor (options: { context: Context, writer: TableWriter }) {
    this.context = options.context
    this.writer = options.writer
  }

  /**
   * @param steps - events, at most one for a task
   * @returns what became of each
   */
  async apply (steps: Step[]): Promise<StepOutcome[]> {
    const tasks = await this.readRows(steps.map(step => taskKey(step.job, step.index)))
    if (tasks === null) return steps.map(() => 'unavailable')
    const parsed = steps.map(step => this.parseTask(tasks.get(taskKey(step.job, step.index))))
    const placements = await this.readRows(parsed.flatMap(task => isPlaced(task?.content) ? [placementKeyOf(task!.content)] : []))
    if (placements === null) return steps.map(() => 'unavailable')
    return await Promise.all(steps.map(async (step, number) => {
      const task = parsed[number]
      if (task === null || task === undefined) return 'stale'
      return await this.applyOne(step, task, placements.get(placementKeyOf(task.content)))
    }))
  }

  private async applyOne (step: Step, task: ParsedTask, placementRow: Row | undefined): Promise<StepOutcome> {
    const { content } = task
    if (step.fence !== null && content.fence !== step.fence) return 'stale'
    if (step.keeper !== undefined && content.worker !== step.keeper.worker) return 'stale'
    const event = this.judge(step.event, content)
    const state = TASK_CHART.next(content.state, event)
    if (state === null) return 'stale'
    const change: Change = { checks: [{ key: task.row.key, version: task.row.version }], writes: [] }
    const next: TaskRow = { ...content, ...this.consequence(event, content), ...step.patch, state }
    if (state === 'pending' || state === 'parked') next.worker = ''
    change.writes.push({ key: task.row.key, value: JSON.stringify(next) })
    if (step.keeper !== undefined) change.checks.push({ key: keeperKey(step.keeper.worker), version: step.keeper.version })
    if (isPlaced(content) && !this.addPlacement(change, placementRow, state)) return 'stale'
    return (await this.writer.write(change)).outcome
  }

  private addPlacement (change: Change, row: Row | undefined, state: TaskLife): boolean {
    if (row === undefined) return false
    change.checks.push({ key: row.key, version: row.version })
    if (OFF_WORKER.has(state)) {
      change.writes.push({ key: row.key, value: null })
      return true
    }
    const placement = parseRow(row, PLACEMENT_ROW)
    if (placement.isErr()) return false
    const intent: PlacementRow['intent'] = state === 'cancelling' ? 'cancel' : 'vacate'
    change.writes.push({ key: row.key, value: JSON.stringify({ ...placement.value, intent }) })
    return true
  }

  private judge (event: TaskEvent, task: TaskRow): TaskEvent {
    const { attempts, losses } = this.context.tuning
    if (task.kind === 'service') return event === 'finish' ? 'retry' : event
    if (event === 'retry' && task.attempts + 1 >= attempts) return 'exhaust'
    if (event === 'lose' && task.losses + 1 >= losses) return 'exhaust'
    return event
  }

  private consequence (event: TaskEvent, task: TaskRow): Partial<TaskRow> {
    if (event === 'lose') return { losses: task.losses + 1, notBefore: this.after(task.losses) }
    if (event !== 'retry' && event !== 'exhaust') return {}
    const avoid = [...task.avoid.filter(worker => worker !== task.worker), task.worker].slice(-MAX_AVOIDED)
    return { attempts: task.attempts + 1, notBefore: this.after(task.attempts), avoid }
  }

  private after (times: number): number {
    const { clock, random, tuning } = this.context
    return clock.wall() + random.jitter(Math.min(tuning.backoff * 2 ** Math.min(times, 20), tuning.backoffMax))
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
    for (let from = 0; from < keys.length; from += READ_KEYS) {
      const rows = await this.context.table.read(keys.slice(from, from + READ_KEYS))
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
  return task !== undefined && !OFF_WORKER.has(task.state)
}

function placementKeyOf (task: TaskRow): string {
  return placementKey(task.worker, task.job, task.index)
}
