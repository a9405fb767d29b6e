import { rankNodes } from '@rattanstep/core'
import type { Incarnation, Timer } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import type { Body, Hold, HoldRequest } from '../types/messages.js'
import { jobKey, keeperKey, placementKey, taskKey, taskName } from '../types/rows.js'
import type { JobRow, PlacementRow, TaskRow } from '../types/rows.js'
import type { Post } from './Post.js'
import type { Change, TableWriter } from './TableWriter.js'

/** A row with its content. */
export interface Versioned<T> {
  version: number
  content: T
}

/** Tasks of one job that are placed together. */
export interface Unit {
  job: Versioned<JobRow>
  tasks: Array<Versioned<TaskRow>>
  /** Whether all of the tasks are placed or none. */
  whole: boolean
  /** Whether younger jobs are to make way. */
  insists: boolean
  /** Whether workers that failed a task are passed over. */
  avoids: boolean
  /** Priority of the class, raised by ageing. */
  priority: number
  /** Tasks of classes below this priority may be moved off; `null` for none. */
  preemptsBelow: number | null
}

/** What came of placing a unit. */
export interface PlaceOutcome {
  held: number
  placed: Array<{ index: number, worker: string }>
}

interface Question {
  resolve: (holds: Hold[]) => void
  timer: Timer
}

/** Places tasks: asks the owners of workers for room and writes the placement. */
export class Placer {
  private readonly context: Context
  private readonly post: Post
  private readonly writer: TableWriter
  private readonly questions = new Map<string, Question>()
  private units = 0

  /** @param options - messages and the table */
  constructor (options: { context: Context, post: Post, writer: TableWriter }) {
    this.context = options.context
    this.post = options.post
    this.writer = options.writer
  }

  /**
   * @param unit - tasks to place
   * @returns which of them were placed
   */
  async place (unit: Unit): Promise<PlaceOutcome> {
    const name = `${this.context.self}#${this.units++}`
    const asked: Incarnation[] = []
    const holds = await this.collect(unit, name, asked)
    const isEnough = unit.whole ? holds.length === unit.tasks.length : holds.length > 0
    if (!isEnough) {
      this.release(name, asked)
      return { held: holds.length, placed: [] }
    }
    const settlement = await this.writer.write(describe(unit, holds))
    if (settlement.outcome === 'committed') {
      const workers = holds.map(hold => hold.worker)
      for (const owner of asked) this.post.send(owner, 'committed', { unit: name, workers, holds: holds.map(hold => hold.hold) })
      return { held: holds.length, placed: holds.map(({ index, worker }) => ({ index, worker })) }
    }
    if (settlement.outcome !== 'undecided') this.release(name, asked)
    return { held: holds.length, placed: [] }
  }

  /** @param body - an owner's answer; one that is not waited for is given back by its own end */
  held (body: Body<'held'>): void {
    const question = this.questions.get(body.unit)
    if (question === undefined) return
    this.questions.delete(body.unit)
    question.timer.cancel()
    question.resolve(body.holds)
  }

  private async collect (unit: Unit, name: string, asked: Incarnation[]): Promise<Hold[]> {
    const held = new Map<number, Hold>()
    for (const owner of this.order(unit)) {
      const missing = unit.tasks.filter(task => !held.has(task.content.index))
      if (missing.length === 0) break
      asked.push(owner)
      const holds = await this.ask(owner, this.describeNeeds(unit, missing, name))
      const wanted = new Set(missing.map(task => task.content.index))
      for (const hold of holds) {
        if (wanted.has(hold.index)) held.set(hold.index, hold)
      }
    }
    return dropStale([...held.values()])
  }

  /** Gangs ask all owners in one fixed order, so that two of them meet at the same owner first. */
  private order (unit: Unit): Incarnation[] {
    const holders = this.context.holders()
    if (unit.whole) return [...holders].sort()
    const first = unit.tasks[0]!.content
    return rankNodes(`${taskName(first.job, first.index)} ${first.fence}`, holders)
  }

  private describeNeeds (unit: Unit, tasks: Array<Versioned<TaskRow>>, name: string): HoldRequest {
    const { id, submitted, team } = unit.job.content
    const { insists, preemptsBelow, priority } = unit
    const needs = tasks.map(({ content }) => ({ index: content.index, resources: content.resources, avoid: unit.avoids ? content.avoid : [] }))
    return { unit: name, job: id, submitted, class: unit.job.content.class, team, priority, insists, preemptsBelow, needs }
  }

  private async ask (owner: Incarnation, request: HoldRequest): Promise<Hold[]> {
    return await new Promise(resolve => {
      const timer = this.context.clock.schedule(this.context.tuning.askTimeout, () => {
        this.questions.delete(request.unit)
        resolve([])
      })
      this.questions.set(request.unit, { resolve, timer })
      this.post.send(owner, 'hold', request)
    })
  }

  private release (unit: string, asked: Incarnation[]): void {
    for (const owner of asked) this.post.send(owner, 'release', { unit })
  }
}

/** Two nodes may hold room on one worker as it passes from one to the other; the room of the former no longer counts. */
function dropStale (holds: Hold[]): Hold[] {
  const newest = new Map<string, number>()
  for (const { worker, version } of holds) newest.set(worker, Math.max(version, newest.get(worker) ?? 0))
  return holds.filter(hold => hold.version === newest.get(hold.worker))
}

function describe (unit: Unit, holds: Hold[]): Change {
  const { job } = unit
  const change: Change = { checks: [{ key: jobKey(job.content.id), version: job.version }], writes: [] }
  const tasks = new Map(unit.tasks.map(task => [task.content.index, task]))
  const keepers = new Map(holds.map(hold => [hold.worker, hold.version]))
  for (const [worker, version] of keepers) change.checks.push({ key: keeperKey(worker), version })
  for (const hold of holds) addTask(change, tasks.get(hold.index)!, hold)
  return change
}

function addTask (change: Change, task: Versioned<TaskRow>, hold: Hold): void {
  const { content } = task
  const fence = content.fence + 1
  const row: TaskRow = { ...content, state: 'placed', fence, worker: hold.worker, reason: '' }
  const placement: PlacementRow = {
    job: content.job,
    index: content.index,
    fence,
    class: content.class,
    team: content.team,
    command: content.command,
    resources: content.resources,
    checkpoint: content.checkpoint,
    hold: hold.hold,
    intent: 'run'
  }
  const key = taskKey(content.job, content.index)
  const placementRow = placementKey(hold.worker, content.job, content.index)
  change.checks.push({ key, version: task.version }, { key: placementRow, version: 0 })
  change.writes.push({ key, value: JSON.stringify(row) }, { key: placementRow, value: JSON.stringify(placement) })
}
