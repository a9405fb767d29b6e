import { rankNodes } from '@rattanstep/core'
import type { Incarnation, Timer } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import type { MessageBody, Hold, HoldRequest } from '../types/messages.js'
import { jobKey, claimKey, placementKey, taskKey, taskName } from '../types/rows.js'
import type { JobRow, PlacementRow, TaskRow } from '../types/rows.js'
import type { Messenger } from './Messenger.js'
import type { Change, TableWriter } from './TableWriter.js'

/** Parsed content of a row, with the version of the row. */
export interface Versioned<T> {
  version: number
  content: T
}

/** Tasks of one job that are placed by one transaction. */
export interface PlacementUnit {
  job: Versioned<JobRow>
  tasks: Array<Versioned<TaskRow>>
  /** Whether either all of the tasks are placed or none. */
  isAllOrNothing: boolean
  /** Whether owners reserve capacity for the job. */
  reservesCapacity: boolean
  /** Whether a task avoids the workers on which it has failed. */
  avoidsFailedWorkers: boolean
  /** Priority of the class, raised by the age of the job. */
  priority: number
  /** Tasks of classes below this priority may be preempted; `null` for none. */
  preemptsBelow: number | null
}

/** Result of an attempt to place a unit. */
export interface PlacementResult {
  /** Number of tasks for which owners held capacity. */
  held: number
  placed: Array<{ index: number, worker: string }>
}

interface PendingRequest {
  resolve: (holds: Hold[]) => void
  timer: Timer
}

/** Places tasks: asks the owners of workers to hold capacity and writes the placements. */
export class Placer {
  private readonly context: Context
  private readonly messenger: Messenger
  private readonly writer: TableWriter
  private readonly pendingRequests = new Map<string, PendingRequest>()
  private unitCount = 0

  /** @param options - messenger to the owners and writer of the table */
  constructor (options: { context: Context, messenger: Messenger, writer: TableWriter }) {
    this.context = options.context
    this.messenger = options.messenger
    this.writer = options.writer
  }

  /**
   * @param unit - tasks to place
   * @returns the tasks that were placed
   */
  async place (unit: PlacementUnit): Promise<PlacementResult> {
    const name = `${this.context.self}#${this.unitCount++}`
    const askedOwners: Incarnation[] = []
    const holds = await this.collectHolds(unit, name, askedOwners)
    const isSufficient = unit.isAllOrNothing ? holds.length === unit.tasks.length : holds.length > 0
    if (!isSufficient) {
      this.releaseHolds(name, askedOwners)
      return { held: holds.length, placed: [] }
    }
    const settlement = await this.writer.write(buildChange(unit, holds))
    if (settlement.outcome === 'committed') {
      const workers = holds.map(hold => hold.worker)
      for (const owner of askedOwners) this.messenger.send(owner, 'committed', { unit: name, workers, holds: holds.map(hold => hold.hold) })
      return { held: holds.length, placed: holds.map(({ index, worker }) => ({ index, worker })) }
    }
    if (settlement.outcome !== 'undecided') this.releaseHolds(name, askedOwners)
    return { held: holds.length, placed: [] }
  }

  /** @param body - answer of an owner; an answer that arrives too late is ignored, and its holds expire at the owner */
  handleHolds (body: MessageBody<'held'>): void {
    const pending = this.pendingRequests.get(body.unit)
    if (pending === undefined) return
    this.pendingRequests.delete(body.unit)
    pending.timer.cancel()
    pending.resolve(body.holds)
  }

  private async collectHolds (unit: PlacementUnit, name: string, askedOwners: Incarnation[]): Promise<Hold[]> {
    const held = new Map<number, Hold>()
    for (const owner of this.orderOwners(unit)) {
      const unplaced = unit.tasks.filter(task => !held.has(task.content.index))
      if (unplaced.length === 0) break
      askedOwners.push(owner)
      const holds = await this.requestHolds(owner, this.buildRequest(unit, unplaced, name))
      const unplacedIndexes = new Set(unplaced.map(task => task.content.index))
      for (const hold of holds) {
        if (unplacedIndexes.has(hold.index)) held.set(hold.index, hold)
      }
    }
    return dropStaleHolds([...held.values()])
  }

  /** Gangs ask all owners in the same fixed order, so that two competing gangs request holds from the same owner first. */
  private orderOwners (unit: PlacementUnit): Incarnation[] {
    const holders = this.context.holders()
    if (unit.isAllOrNothing) return [...holders].sort()
    const first = unit.tasks[0]!.content
    return rankNodes(`${taskName(first.job, first.index)} ${first.fence}`, holders)
  }

  private buildRequest (unit: PlacementUnit, tasks: Array<Versioned<TaskRow>>, name: string): HoldRequest {
    const { id, submitted, team } = unit.job.content
    const { reservesCapacity: insists, preemptsBelow, priority } = unit
    const needs = tasks.map(({ content }) => ({ index: content.index, resources: content.resources, avoid: unit.avoidsFailedWorkers ? content.avoid : [] }))
    return { unit: name, job: id, submitted, class: unit.job.content.class, team, priority, insists, preemptsBelow, needs }
  }

  private async requestHolds (owner: Incarnation, request: HoldRequest): Promise<Hold[]> {
    return await new Promise(resolve => {
      const timer = this.context.clock.schedule(this.context.tuning.holdTimeout, () => {
        this.pendingRequests.delete(request.unit)
        resolve([])
      })
      this.pendingRequests.set(request.unit, { resolve, timer })
      this.messenger.send(owner, 'hold', request)
    })
  }

  private releaseHolds (unit: string, askedOwners: Incarnation[]): void {
    for (const owner of askedOwners) this.messenger.send(owner, 'release', { unit })
  }
}

/** While a worker moves to another owner, both may grant holds on it. Only holds of the newest claim are valid. */
function dropStaleHolds (holds: Hold[]): Hold[] {
  const newestVersions = new Map<string, number>()
  for (const { worker, version } of holds) newestVersions.set(worker, Math.max(version, newestVersions.get(worker) ?? 0))
  return holds.filter(hold => hold.version === newestVersions.get(hold.worker))
}

function buildChange (unit: PlacementUnit, holds: Hold[]): Change {
  const { job } = unit
  const change: Change = { checks: [{ key: jobKey(job.content.id), version: job.version }], writes: [] }
  const tasks = new Map(unit.tasks.map(task => [task.content.index, task]))
  const claimVersions = new Map(holds.map(hold => [hold.worker, hold.version]))
  for (const [worker, version] of claimVersions) change.checks.push({ key: claimKey(worker), version })
  for (const hold of holds) addPlacement(change, tasks.get(hold.index)!, hold)
  return change
}

function addPlacement (change: Change, task: Versioned<TaskRow>, hold: Hold): void {
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
  const placementRowKey = placementKey(hold.worker, content.job, content.index)
  change.checks.push({ key, version: task.version }, { key: placementRowKey, version: 0 })
  change.writes.push({ key, value: JSON.stringify(row) }, { key: placementRowKey, value: JSON.stringify(placement) })
}
