import { Err, Ok, PERMIT_VALIDITY_MS, workerResource } from '@rattanstep/core'
import type { Ask, Assignment, Ending, Grant, Incarnation, Message, Permit, Refusal, Result, Timer } from '@rattanstep/core'
import { chooseOwner } from '@rattanstep/policy'
import type { OwnerChoice } from '@rattanstep/policy'
import { FRONT_EVENTS } from '../types/events.js'
import type { PermitClientOptions } from '../types/PermitClientOptions.js'
import { PermitList } from './PermitList.js'
import { PermitOutbox } from './PermitOutbox.js'
import { PermitSource } from './PermitSource.js'
import type { Placement } from './PermitSource.js'
import { nextOwner } from './nextOwner.js'

/** Time between renewals of the permits in use, in ms. */
const RENEWAL_PERIOD_MS = 1000

/** Time after which an ask without an answer is sent again, in ms. */
const RESEND_MS = 500

/** Time given to an owner's own refusal beyond the ask's patience, in ms. */
const REFUSAL_MARGIN_MS = 50

/** Hint to callers when no owner is known, in ms. */
const NO_OWNER_RETRY_MS = 1000

interface PendingAsk {
  ask: Ask
  startedAt: number
  owner: Incarnation
  reason: string
  /** Monotonic ms of the first sending to this owner. */
  sentAt: number
  exclude: Set<Incarnation>
  redirects: number
  resendTimer: Timer
  settle: (result: Result<Placement, Refusal>) => void
}

/** Asks the owners of workers for room, over messages that may be lost, late, repeated or out of order. */
export class PermitClient extends PermitSource {
  private readonly pending = new Map<string, PendingAsk>()
  /** Asks that each owner has not answered yet. */
  private readonly unansweredAsks = new Map<Incarnation, number>()
  private readonly outbox: PermitOutbox
  private readonly held: PermitList
  /** For each worker, the version at which its permits were told to a new owner; older grants came too late to be counted. */
  private readonly reportedVersions = new Map<string, number>()
  private timer: Timer | null = null

  constructor (private readonly options: PermitClientOptions) {
    super()
    this.outbox = new PermitOutbox(options.network, options.clock)
    this.held = new PermitList(options.clock, options.assignment)
    options.metrics.gauge('front_permits', () => this.held.size)
    options.metrics.gauge('front_asks', () => this.pending.size)
  }

  /** Begins to renew permits. */
  start (): void {
    this.timer ??= this.options.clock.repeat(RENEWAL_PERIOD_MS, () => { this.renew() })
  }

  /** Ends the renewals. */
  stop (): void {
    this.timer?.cancel()
    this.timer = null
  }

  override async acquire (ask: Ask, signal: AbortSignal): Promise<Result<Placement, Refusal>> {
    const choice = this.choose(ask, new Set())
    if (choice === null) return Err(refusal(ask, 'no-owner'))
    if (signal.aborted) return Err(refusal(ask, 'cancelled'))
    return await new Promise(resolve => {
      const { clock } = this.options
      const deadline = clock.schedule(ask.patience + REFUSAL_MARGIN_MS, () => { this.cancelAsk(ask, 'patience') })
      const withdraw = (): void => { this.cancelAsk(ask, 'cancelled') }
      signal.addEventListener('abort', withdraw, { once: true })
      const settle = (result: Result<Placement, Refusal>): void => {
        deadline.cancel()
        signal.removeEventListener('abort', withdraw)
        resolve(result)
      }
      this.send({ ask, startedAt: clock.now(), exclude: new Set(), redirects: 0, settle }, choice.owner, choice.reason)
    })
  }

  override release (grant: Grant, ending: Ending, serviceTime: number): void {
    const held = this.held.remove(grant.permit)
    if (held === undefined) return
    this.outbox.release(this.held.ownerOf(held), { permit: grant.permit, worker: grant.worker, ending, serviceTime })
  }

  /**
   * @param from - sender
   * @param message - any message
   * @returns whether it was one for this front's permits
   */
  receive (from: Incarnation, message: Message): boolean {
    if (message.kind === 'grant') for (const grant of message.grants) this.handleGrant(from, grant)
    else if (message.kind === 'refuse') for (const refused of message.refusals) this.handleRefusal(from, refused)
    else if (message.kind === 'permits-request') this.reportPermits(from, message.version, message.workers)
    else return false
    return true
  }

  /** Tells each owner the whole list of the permits in use at its workers. */
  renew (): void {
    const version = this.options.assignment().version
    for (const [owner, permits] of this.held.byOwner()) {
      this.options.network.send(owner, { kind: 'permits', version, permits })
    }
  }

  /** @returns the permits in use */
  active (): Permit[] {
    return this.held.all()
  }

  /**
   * Follows a new assignment: tells new owners of workers which permits are in use there, and moves asks away from nodes that own nothing.
   *
   * @param assignment - the newest
   * @param previous - the one followed before
   */
  assignmentChanged (assignment: Assignment, previous: Assignment): void {
    const gained = new Map<Incarnation, string[]>()
    for (const [resource, owner] of Object.entries(assignment.owners)) {
      if (previous.owners[resource] === owner || !resource.startsWith(WORKER_PREFIX)) continue
      const workers = gained.get(owner) ?? []
      workers.push(resource.slice(WORKER_PREFIX.length))
      gained.set(owner, workers)
    }
    for (const [owner, workers] of gained) this.reportPermits(owner, assignment.version, workers)
    const holders = new Set(assignment.holders.map(holder => holder.incarnation))
    for (const pending of [...this.pending.values()]) {
      if (!holders.has(pending.owner)) this.askNextOwner(pending, refusal(pending.ask, 'not-owner'))
    }
  }

  private choose (ask: Ask, exclude: ReadonlySet<Incarnation>): OwnerChoice | null {
    const { self, random, priorityOf, dataCentre } = this.options
    return chooseOwner({
      owners: this.options.owners(),
      self,
      priority: priorityOf(ask.class),
      outstanding: this.unansweredAsks,
      random,
      exclude,
      ...(dataCentre === undefined ? {} : { dataCentre })
    })
  }

  private send (base: Pick<PendingAsk, 'ask' | 'startedAt' | 'exclude' | 'redirects' | 'settle'>, owner: Incarnation, reason: string): void {
    const { clock } = this.options
    const now = clock.now()
    const pending: PendingAsk = {
      ...base,
      owner,
      reason,
      sentAt: now,
      resendTimer: clock.repeat(RESEND_MS, () => { this.resend(pending) })
    }
    this.pending.set(base.ask.id, pending)
    this.unansweredAsks.set(owner, (this.unansweredAsks.get(owner) ?? 0) + 1)
    this.outbox.ask(owner, this.currentAsk(pending))
  }

  private currentAsk ({ ask, startedAt }: PendingAsk): Ask {
    const waited = this.options.clock.now() - startedAt
    return { ...ask, waited: ask.waited + waited, patience: Math.max(0, ask.patience - waited) }
  }

  private resend (pending: PendingAsk): void {
    const known = this.options.owners().some(owner => owner.incarnation === pending.owner)
    if (known) this.outbox.ask(pending.owner, this.currentAsk(pending))
    else this.askNextOwner(pending, refusal(pending.ask, 'not-owner'))
  }

  private handleGrant (from: Incarnation, grant: Grant): void {
    const pending = this.pending.get(grant.ask)
    if (pending === undefined || pending.owner !== from) {
      if (!this.held.has(grant.permit)) this.returnUnused(from, grant)
      return
    }
    if (this.isOutdated(from, grant)) {
      this.returnUnused(from, grant)
      this.askNextOwner(pending, refusal(pending.ask, 'not-owner'))
      return
    }
    this.removePending(pending)
    const { ask, sentAt, owner, reason } = pending
    const grantedAt = sentAt + grant.waited
    this.held.add({ grant, ask, owner, grantedAt })
    const candidates = this.options.owners().map(known => `${known.incarnation} ${known.load.free}/${known.load.slots}`)
    pending.settle(Ok({ ...grant, owner, reason, candidates, validUntil: grantedAt + PERMIT_VALIDITY_MS }))
  }

  private isOutdated (from: Incarnation, grant: Grant): boolean {
    if (grant.version < (this.reportedVersions.get(grant.worker) ?? 0)) return true
    const { version, owners } = this.options.assignment()
    return version > grant.version && owners[workerResource(grant.worker)] !== from
  }

  private returnUnused (owner: Incarnation, { permit, worker }: Grant): void {
    this.outbox.release(owner, { permit, worker, ending: 'unsent', serviceTime: 0 })
  }

  private handleRefusal (from: Incarnation, refused: Refusal): void {
    const pending = this.pending.get(refused.ask)
    if (pending?.owner === from) this.askNextOwner(pending, refused)
  }

  private askNextOwner (pending: PendingAsk, refused: Refusal): void {
    this.removePending(pending)
    pending.exclude.add(pending.owner)
    const choice = nextOwner(refused, pending, () => this.choose(pending.ask, pending.exclude))
    if (choice === null) {
      pending.settle(Err(refused))
      return
    }
    this.options.log.write(FRONT_EVENTS.redirected, { ask: pending.ask.id, owner: pending.owner, reason: refused.reason, next: choice.owner })
    this.outbox.cancel(pending.owner, pending.ask.id)
    this.send({ ...pending, redirects: pending.redirects + 1 }, choice.owner, choice.reason)
  }

  private cancelAsk (ask: Ask, reason: 'patience' | 'cancelled'): void {
    const pending = this.pending.get(ask.id)
    if (pending === undefined) return
    this.removePending(pending)
    this.outbox.cancel(pending.owner, ask.id)
    pending.settle(Err(refusal(ask, reason)))
  }

  private removePending (pending: PendingAsk): void {
    pending.resendTimer.cancel()
    this.pending.delete(pending.ask.id)
    const left = (this.unansweredAsks.get(pending.owner) ?? 1) - 1
    if (left > 0) this.unansweredAsks.set(pending.owner, left)
    else this.unansweredAsks.delete(pending.owner)
  }

  private reportPermits (owner: Incarnation, version: number, workers: string[]): void {
    for (const worker of workers) this.reportedVersions.set(worker, Math.max(version, this.reportedVersions.get(worker) ?? 0))
    this.options.network.send(owner, { kind: 'permits', version, permits: this.held.atWorkers(new Set(workers)) })
  }
}

const WORKER_PREFIX = workerResource('')

function refusal (ask: Ask, reason: 'no-owner' | 'not-owner' | 'patience' | 'cancelled'): Refusal {
  return { ask: ask.id, reason, retryAfter: NO_OWNER_RETRY_MS, redirect: '' }
}
