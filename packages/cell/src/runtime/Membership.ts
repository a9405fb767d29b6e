import { Chart } from '@rattanstep/core'
import type { ChartFile, Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import membershipChart from '../charts/membership.json' with { type: 'json' }
import { CELL_EVENTS } from '../types/events.js'
import { FENCE_STEP, LINK_TIMEOUT_MS, SUCCESSION_STEP_MS, TERM_RECHECK_DELAY_MS } from '../types/limits.js'
import type { FollowerMessage } from '../types/links.js'
import type { RecordStore, Row, Transaction } from '../types/records.js'
import { Follower } from './Follower.js'
import type { FollowerCallbacks, DeciderConnector } from './Follower.js'
import { hashFraction } from './hashText.js'
import { repeatWhile } from './repeatWhile.js'
import { decodeTerm, TERM_ROW, encodeTerm } from './Term.js'
import type { Term } from './Term.js'

/** Delay between attempts to read the term while the store does not answer. */
const STORE_RETRY_DELAY_MS = 150
/** Timeout of a connection attempt; several times the latency between data centres. */
const CONNECT_TIMEOUT_MS = 400
/** Interval at which a node reads the term while it waits for its turn to claim it; a read takes 4 to 6 ms. */
const CLAIM_POLL_INTERVAL_MS = 50
/** Delay after a claim that failed or got no answer. */
const CLAIM_RETRY_DELAY_MS = 50
/** Maximum number of immediate repeats of a claim that a commit of the offering decider has overtaken; about every second one succeeds. */
const MAX_CLAIM_REPEATS = 10
/**
 * Additional delay of a claim for an instance of strength 0, compared with one of at least a whole core. It applies only to nodes without
 * a rank, since ranks already take the strength into account.
 */
const WEAKNESS_DELAY_MS = 300
/** Period over which the claims of nodes without a rank are spread, by a hash of their names. */
const UNRANKED_SPREAD_MS = 300

/** Time for which a takeover counts as recent: the last one's backlog is worked off by then. */
const TAKEOVER_MEMORY_MS = 10_000
/** Maximum factor by which recent takeovers extend the time that a silent decider has; on the slowest links, a new decider reads the records for 2.5 s. */
const MAX_RECHECK_FACTOR = 16

type MembershipRole = 'seeking' | 'connecting' | 'following' | 'suspecting' | 'claiming' | 'deciding' | 'stopped'
type MembershipEvent = 'found' | 'vacant' | 'welcomed' | 'turned-away' | 'refused' | 'silent' | 'closed' | 'called' | 'alive' | 'dead' | 'changed' | 'won' | 'lost' | 'deposed' | 'stop'

const chart = new Chart<MembershipRole, MembershipEvent>(membershipChart as ChartFile)

/** Options of a membership. */
export interface MembershipOptions {
  store: RecordStore
  connector: DeciderConnector
  clock: Clock
  log: Log
  node: string
  dataCentre: string
  /** Suitability of this instance as decider; see `CellSettings.strength`. */
  strength: number
  /** Weight in bytes of the open jobs that this node could hold as decider. */
  openJobLimit?: number
  /** Distinguishes the processes that were started under this node's name. */
  start: string
  /** `HOST:PORT` for links. */
  address: string
  follower: FollowerCallbacks
  /** Decides while this node holds the term; resolves when the term is lost. */
  decide: (term: Term, version: number) => Promise<void>
}

/** Finds and follows the decider, or claims the term and becomes the decider. */
export class Membership {
  role: MembershipRole = chart.initial
  /** Term as last read from the store or claimed by this node. */
  term: Term | undefined
  follower: Follower | undefined
  /** Newest term that another node has announced over a link. */
  private announcedTerm: Term | undefined
  /** Addresses of the nodes that followed the former decider, if this node was told. */
  private members: string[] = []
  /** Address of the former decider, or '' if there was none. */
  private formerDecider = ''
  private termRowVersion = 0
  /** Monotonic ms at which this node learned of each of the last terms that were claimed from a silent decider, by fencing token. */
  private readonly suspicionsSeenAt = new Map<number, number>()
  private newestFence = 0
  /** Place in the order of succession, if the decider assigned one. */
  private rank: number | undefined
  private claimReason = 'no decider'
  /** Whether a planned stop has started, so that this node must not claim the term. */
  private isClaimingStopped = false

  private readonly startedAt: number

  constructor (private readonly options: MembershipOptions) {
    this.startedAt = options.clock.now()
  }

  /** Runs until `stop` is called. */
  async run (): Promise<void> {
    const { clock, log } = this.options
    await repeatWhile(() => !this.isStopped(), async () => { await this.runOnce() }, { clock, log, step: 'membership' })
  }

  private async runOnce (): Promise<void> {
    let event: MembershipEvent | undefined
    try {
      event = await this.runRole()
    } finally {
      if (event === undefined) this.reset()
    }
    if (!this.isStopped()) this.transition(event)
  }

  /** Starts anew after a fault, since the state that the present role relies on may be incomplete. */
  private reset (): void {
    this.follower?.close()
    this.follower = undefined
    if (!this.isStopped()) this.role = chart.initial
  }

  stop (): void {
    this.transition('stop')
    this.follower?.close()
  }

  /** Makes the node follow only, without claiming the term, from now on. */
  stopClaiming (): void {
    this.isClaimingStopped = true
  }

  /** Handles the announcement of another node that it has claimed the term. */
  handleClaim ({ fence, decider }: Omit<Extract<FollowerMessage, { kind: 'claimed' }>, 'kind'>): void {
    if (fence <= (this.term?.fence ?? 0)) return
    if (typeof decider?.address === 'string') this.announcedTerm = { ...decider, fence, serial: 0, isSuspicion: false }
    this.follower?.supersede()
  }

  /** @returns addresses of the other nodes that were in the cell at the end of the former term, as far as this node was told */
  get formerMembers (): string[] {
    return [...this.members, this.formerDecider].filter(address => address !== '' && address !== this.options.address)
  }

  /**
   * Tells the nodes of the former term that this node has claimed the term, since some of them don't watch the decider closely, and some are not answered
   * by the store and can't read who the decider is.
   */
  async announceClaim (fence: number): Promise<void> {
    const { connector, clock, address, node, start } = this.options
    await Promise.all(this.formerMembers.map(async member => {
      const link = await connector.connect(member, CONNECT_TIMEOUT_MS)
      if (link.isErr()) return
      link.value.send({ kind: 'claimed', fence, decider: { node, start, address } })
      clock.schedule(CONNECT_TIMEOUT_MS, () => { link.value.close() })
    }))
  }

  private isStopped (): boolean {
    return this.role === 'stopped'
  }

  private transition (event: MembershipEvent): void {
    const next = chart.next(this.role, event)
    if (next !== null) this.role = next
  }

  private async runRole (): Promise<MembershipEvent> {
    switch (this.role) {
      case 'seeking': return await this.findDecider()
      case 'connecting': return await this.connect()
      case 'following': return await this.follow()
      case 'suspecting': return await this.checkDecider()
      case 'claiming': return await this.claim()
      default: return await this.decide()
    }
  }

  private async findDecider (): Promise<MembershipEvent> {
    while (!await this.readTerm()) {
      if (this.isStopped()) return 'stop'
      if (this.adoptAnnouncedTerm()) return 'found'
      await this.options.clock.sleep(STORE_RETRY_DELAY_MS)
    }
    const { node, start } = this.options
    if (this.term === undefined) return 'vacant'
    if (this.term.node !== node) return 'found'
    // The term belongs to an earlier process of this node, which has ended.
    if (this.term.start !== start) this.rank = 0
    this.claimReason = 'own former term'
    return 'vacant'
  }

  /**
   * Takes the decider from its announcement while the store does not answer. Otherwise this node would follow nobody after a change of the decider, and
   * would learn of no new configuration.
   *
   * @returns whether a newer term was announced than this node knows
   */
  private adoptAnnouncedTerm (): boolean {
    const announced = this.announcedTerm
    if (announced === undefined || announced.fence <= (this.term?.fence ?? 0)) return false
    this.term = announced
    this.noteTerm()
    return true
  }

  private async connect (): Promise<MembershipEvent> {
    const { connector, clock, log, node, dataCentre, address, strength, openJobLimit, follower, store } = this.options
    const term = this.term!
    const link = await connector.connect(term.address, CONNECT_TIMEOUT_MS)
    if (link.isErr()) {
      log.write(CELL_EVENTS.deciderLost, { decider: term.node, reason: link.error, fence: term.fence })
      this.claimReason = link.error
      return link.error
    }
    this.follower = new Follower(link.value, {
      clock,
      log,
      callbacks: follower,
      node,
      dataCentre,
      address,
      strength,
      openJobLimit,
      storeSilence: () => store.silentFor(),
      storeFailing: () => store.failingFor(),
      checkStore: async () => await this.readTerm(),
      newestFence: () => this.term?.fence ?? 0,
      age: clock.now() - this.startedAt
    })
    const joinOutcome = await this.follower.join(LINK_TIMEOUT_MS)
    if (joinOutcome !== 'welcomed') {
      this.follower.close()
      this.follower = undefined
      if (joinOutcome === 'turned-away') await clock.sleep(STORE_RETRY_DELAY_MS)
      return joinOutcome
    }
    log.write(CELL_EVENTS.following, { decider: term.node, fence: term.fence })
    return 'welcomed'
  }

  private async follow (): Promise<MembershipEvent> {
    const follower = this.follower!
    const end = await follower.whenEnded()
    this.rank = follower.rank
    this.members = follower.members
    this.follower = undefined
    this.claimReason = end
    if (end === 'superseded') return 'changed'
    if (end === 'called') return 'called'
    const { log } = this.options
    log.write(CELL_EVENTS.deciderLost, { decider: this.term?.node, reason: end, fence: this.term?.fence })
    return end
  }

  /** Distinguishes a decider that has failed from one that only this node can't reach. */
  private async checkDecider (): Promise<MembershipEvent> {
    const { clock } = this.options
    const versionBefore = this.termRowVersion
    const fence = this.term?.fence
    if (!await this.readTerm()) return 'alive'
    if (this.term?.fence !== fence) return 'changed'
    const versionSeen = this.termRowVersion
    for (const deadline = clock.now() + this.recheckDelay(); clock.now() < deadline;) {
      await clock.sleep(Math.min(TERM_RECHECK_DELAY_MS, deadline - clock.now()))
      if (!await this.readTerm()) return 'alive'
      if (this.term?.fence !== fence) return 'changed'
      if (this.termRowVersion !== versionSeen || versionBefore === 0) return 'alive'
    }
    this.claimReason = 'silent'
    return 'dead'
  }

  /**
   * A takeover makes the next decider busier than the last one was, so that it may be silent in turn. Each recent takeover from a silent decider
   * therefore doubles the time that a decider has to show that it is alive. Hand-overs and takeovers from dead processes don't count.
   */
  private recheckDelay (): number {
    const since = this.options.clock.now() - TAKEOVER_MEMORY_MS
    for (const [fence, at] of this.suspicionsSeenAt) if (at < since) this.suspicionsSeenAt.delete(fence)
    return TERM_RECHECK_DELAY_MS * Math.min(MAX_RECHECK_FACTOR, 2 ** this.suspicionsSeenAt.size)
  }

  private noteTerm (): void {
    const fence = this.term?.fence ?? 0
    // The first term that a process sees may be old.
    if (fence > this.newestFence && this.newestFence > 0 && this.term?.isSuspicion === true) this.suspicionsSeenAt.set(fence, this.options.clock.now())
    this.newestFence = Math.max(this.newestFence, fence)
  }

  private async claim (): Promise<MembershipEvent> {
    const { clock, store, node, start, address } = this.options
    const former = this.term
    if (!await this.waitForTurn(former)) return 'lost'
    const term: Term = { fence: (this.term?.fence ?? 0) + FENCE_STEP, node, start, address, serial: 0, isSuspicion: this.claimReason === 'silent' }
    let outcome = await store.commit(this.claimTransaction(term))
    for (let repeats = 0; repeats < MAX_CLAIM_REPEATS && outcome.kind === 'conflict' && this.isOfferStillOpen(outcome.rows); repeats++) {
      outcome = await store.commit(this.claimTransaction(term))
    }
    if (outcome.kind === 'done') return this.acceptTerm(term, outcome.version, former)
    await clock.sleep(CLAIM_RETRY_DELAY_MS)
    // A claim that got no answer may have taken effect.
    if (outcome.kind === 'unknown' && await this.readTerm() && this.term?.node === node && this.term.start === start && this.term.fence === term.fence) return this.acceptTerm(term, this.termRowVersion, former)
    return 'lost'
  }

  private claimTransaction (term: Term): Transaction {
    return { expect: [{ ...TERM_ROW, version: this.termRowVersion }], puts: [{ ...TERM_ROW, value: encodeTerm(term) }] }
  }

  /**
   * Evaluates a conflict of a claim. A decider that offers its term goes on committing, so that a claim may find a newer version of its row.
   *
   * @param rows - the term row in its present state
   * @returns whether the decider that has offered the term still holds it
   */
  private isOfferStillOpen (rows: Row[]): boolean {
    const row = rows.find(each => each.key === TERM_ROW.key)
    if (this.claimReason !== 'called' || row === undefined || decodeTerm(row.value)?.fence !== this.term?.fence) return false
    this.termRowVersion = row.version
    return true
  }

  /** @returns whether the term is still vacant when it is this node's turn to claim it */
  private async waitForTurn (former: Term | undefined): Promise<boolean> {
    const { clock } = this.options
    const claimAt = clock.now() + (this.claimReason === 'called' ? 0 : this.claimDelay())
    for (;;) {
      await clock.sleep(Math.min(CLAIM_POLL_INTERVAL_MS, Math.max(0, claimAt - clock.now())))
      if (this.isClaimingStopped || !await this.readTerm()) {
        await clock.sleep(CLAIM_RETRY_DELAY_MS)
        return false
      }
      if (this.term?.fence !== former?.fence) return false
      if (clock.now() >= claimAt) return true
    }
  }

  private claimDelay (): number {
    if (this.rank !== undefined) return this.rank * SUCCESSION_STEP_MS
    const { node, strength } = this.options
    return UNRANKED_SPREAD_MS * hashFraction(node) + WEAKNESS_DELAY_MS * Math.max(0, 1 - strength)
  }

  private acceptTerm (term: Term, version: number, former: Term | undefined): MembershipEvent {
    this.term = term
    this.termRowVersion = version
    this.formerDecider = former?.address ?? ''
    this.noteTerm()
    this.options.log.write(CELL_EVENTS.termClaimed, { fence: term.fence, reason: this.claimReason, former: former?.node })
    return 'won'
  }

  private async decide (): Promise<MembershipEvent> {
    await this.options.decide(this.term!, this.termRowVersion)
    return 'deposed'
  }

  private async readTerm (): Promise<boolean> {
    const answer = await this.options.store.range({ table: TERM_ROW.table, part: TERM_ROW.part })
    if (answer.isErr()) return false
    const row = answer.value.rows.find(each => each.key === TERM_ROW.key)
    this.termRowVersion = row?.version ?? 0
    this.term = row === undefined ? undefined : decodeTerm(row.value)
    this.noteTerm()
    return true
  }
}
