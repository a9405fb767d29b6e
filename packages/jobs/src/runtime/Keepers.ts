import { hash32, rankNodes } from '@rattanstep/core'
import type { Instance } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import { EVENTS } from '../types/events.js'
import { FailureWatch } from './FailureWatch.js'
import { HoldBook } from './HoldBook.js'
import type { Post } from './Post.js'
import type { TableWriter } from './TableWriter.js'
import type { Transitions } from './Transitions.js'
import { WorkerKeeper } from './WorkerKeeper.js'

const KEEPER_PREFIX = 'keeper/'
const MAX_KEEPERS = 1000
/** Part of the period after which a worker is looked at again once tasks were started, as some are short. */
const SOONER = 5
/** Looks between two searches for workers that are gone. */
const GONE_EVERY = 5
/** Looks between two at a worker on which nothing happens. */
const IDLE_EVERY = 10

/** The keepers of the workers that this node owns. */
export class Keepers {
  readonly holds: HoldBook
  readonly failures: FailureWatch
  private readonly context: Context
  private readonly writer: TableWriter
  private readonly transitions: Transitions
  private readonly post: Post
  private readonly keepers = new Map<string, WorkerKeeper>()
  private ticks = 0

  /** @param options - what keepers work with */
  constructor (options: { context: Context, writer: TableWriter, transitions: Transitions, post: Post }) {
    this.context = options.context
    this.writer = options.writer
    this.transitions = options.transitions
    this.post = options.post
    this.failures = new FailureWatch({ clock: options.context.clock, quarantine: options.context.tuning.quarantine })
    this.holds = new HoldBook({ ...options, keepers: this.keepers, isQuarantined: worker => this.failures.isBad(worker) })
  }

  /** Follows the ownership and looks at every worker once. */
  tick (): void {
    this.follow()
    this.holds.expire()
    for (const keeper of this.keepers.values()) {
      if (this.isDue(keeper)) this.runLook(keeper)
    }
    if (this.ticks++ % GONE_EVERY !== 0) return
    this.findGone().catch((error: unknown) => { this.context.log.write(EVENTS.fault, { step: 'find-gone', error: String(error) }) })
  }

  /** @param worker - one that this node has become the owner of */
  gain (worker: Instance): void {
    this.lose(worker.id)
    this.add(worker.id, worker, () => this.context.owned.owns(worker.id))
  }

  /** @param worker - one that this node no longer owns */
  lose (worker: string): void {
    const keeper = this.keepers.get(worker)
    if (keeper === undefined) return
    this.keepers.delete(worker)
    this.holds.drop(worker)
    keeper.drop()
    this.context.log.write(EVENTS.dropped, { worker })
  }

  /** @param workers - those to look at now; ones not kept here are passed over */
  look (workers: string[]): void {
    for (const name of new Set(workers)) {
      const keeper = this.keepers.get(name)
      if (keeper !== undefined) this.runLook(keeper)
    }
  }

  /**
   * @param worker - a worker kept here
   * @param choose - which tasks are to go (default all)
   * @returns number of tasks told to go
   */
  async vacate (worker: string, choose: (task: { job: string, index: number, class: string }) => boolean = () => true): Promise<number> {
    const keeper = this.keepers.get(worker)
    if (keeper === undefined) return 0
    const told = await keeper.vacate(choose)
    if (told > 0) this.runLook(keeper)
    return told
  }

  /** Ends the keeping of all workers. */
  stop (): void {
    for (const worker of [...this.keepers.keys()]) this.lose(worker)
  }

  /** An idle worker is looked at seldom, each at its own tick: nothing is placed on it without a message to this node. */
  private isDue (keeper: WorkerKeeper): boolean {
    if (!keeper.isIdle || this.holds.hasFor(keeper.worker)) return true
    return (this.ticks + hash32(keeper.worker)) % IDLE_EVERY === 0
  }

  private follow (): void {
    const { owned } = this.context
    const instances = new Map(owned.ownedWorkers().map(worker => [worker.id, worker]))
    for (const [worker, instance] of instances) {
      const known = this.keepers.get(worker)
      if (known?.instance == null) this.gain(instance)
      else known.instance = instance
    }
    for (const [worker, keeper] of this.keepers) {
      const isKept = keeper.instance === null ? this.mayGiveUp(worker) : instances.has(worker)
      if (!isKept) this.lose(worker)
    }
  }

  /** Tasks on workers that nobody can own any longer are given up by one node for each worker. */
  private async findGone (): Promise<void> {
    const rows = await this.context.table.list({ prefix: KEEPER_PREFIX, limit: MAX_KEEPERS })
    if (rows.isErr()) return
    for (const row of rows.value) {
      const worker = row.key.slice(KEEPER_PREFIX.length)
      if (!this.keepers.has(worker) && this.mayGiveUp(worker)) this.add(worker, null, () => this.mayGiveUp(worker))
    }
  }

  private mayGiveUp (worker: string): boolean {
    const { holders, owned, self } = this.context
    return owned.isGone(worker) && rankNodes(worker, holders())[0] === self
  }

  private add (worker: string, instance: Instance | null, mayAct: () => boolean): void {
    const events = {
      changed: (jobs: string[]) => { this.post.tellDrivers(jobs) },
      started: (name: string) => {
        this.context.clock.schedule(this.context.tuning.keepPeriod / SOONER, () => { this.look([name]) })
      },
      ran: (name: string, ok: boolean) => { this.note(name, ok) }
    }
    const keeper = new WorkerKeeper({ context: this.context, writer: this.writer, transitions: this.transitions, events, worker, instance, mayAct })
    this.keepers.set(worker, keeper)
    this.runLook(keeper)
  }

  private note (worker: string, ok: boolean): void {
    const verdict = this.failures.note(worker, ok)
    if (verdict === null) return
    this.context.log.write(EVENTS.quarantined, { worker, ...verdict })
    this.context.quarantine(worker, `${verdict.failures} of its last ${verdict.runs} runs failed`)
  }

  private runLook (keeper: WorkerKeeper): void {
    keeper.look().catch((error: unknown) => { this.context.log.write(EVENTS.fault, { step: `look ${keeper.worker}`, error: String(error) }) })
  }
}
