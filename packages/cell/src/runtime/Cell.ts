import type { Clock, Timer } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Result } from 'ts-results-es'
import type { Configuration } from '../types/configuration.js'
import type { Job } from '../types/job.js'
import { LEASE, LINK_SILENCE, STORE_ADVANTAGE, STORE_PATIENCE } from '../types/limits.js'
import type { Answer, Question } from '../types/links.js'
import type { Advice, Advisor, RowReader, WorkerOrders } from '../types/ports.js'
import type { RecordStore } from '../types/records.js'
import { ConfigurationFeed } from './ConfigurationFeed.js'
import { Decider } from './Decider.js'
import { detach } from './detach.js'
import { DeciderAccess, Entry } from './Entry.js'
import type { Wish } from './Entry.js'
import type { WriteOutcome } from './HandInWriter.js'
import type { UpLinker } from './Follower.js'
import { Followers } from './Followers.js'
import type { DownLink } from './Followers.js'
import { Membership } from './Membership.js'
import type { Term } from './Term.js'

/** ms between checks of a decider's reach to the store. */
const STORE_CHECK_PERIOD = 150
/** ms that a successor is given to claim the term. */
const SUCCESSION_PATIENCE = 400
/** How many times as strong a follower must be for a hand-over in calm, which costs a moment. */
const STRONGER_FACTOR = 1.8
/** ms between two offers for that reason. */
const YIELD_PERIOD = 1000
/** ms kept for the way of a follower's write and its answer. */
const RECORD_RESERVE = 30
/** ms of store silence at the decider up to which it may write for others; as long as a node writes for itself. */
const DECIDER_STORE_SILENCE = 1800
/** ms between looks at whether a hand-over has happened. */
const SUCCESSION_CHECK = 10

/** What a member of the cell is made of. */
export interface CellOptions {
  node: string
  dataCentre: string
  /** How well this instance can decide; see the settings. */
  strength: number
  /** `HOST:PORT` at which other nodes reach this one. */
  address: string
  /** ms for which ended jobs are kept. */
  retention: number
  /** Longest lease that workers grant, in ms. */
  leaseMax: number
  store: RecordStore
  orders: WorkerOrders
  advisor: Advisor
  reader: RowReader
  linker: UpLinker
  readConfiguration: (value: string) => Result<Configuration, string>
  clock: Clock
  log: Log
}

/** One member of the cell, without its sockets: entry, follower and, while it holds the term, decider. */
export class Cell extends DeciderAccess {
  readonly entry: Entry
  private readonly configurationFeed: ConfigurationFeed
  private readonly membership: Membership
  private decider: Decider | undefined
  private followers: Followers | undefined
  private check: Timer | undefined
  private offers = 0
  private lastOffer = 0

  constructor (private readonly options: CellOptions) {
    super()
    const { store, clock, log, advisor } = options
    this.configurationFeed = new ConfigurationFeed({ store, clock, log, read: options.readConfiguration })
    this.entry = new Entry({ store, clock, decider: this })
    this.membership = new Membership({
      store,
      linker: options.linker,
      clock,
      log,
      node: options.node,
      dataCentre: options.dataCentre,
      strength: options.strength,
      start: String(clock.wall()),
      address: options.address,
      follower: {
        advise: async question => await advisor.advise(question),
        configuration: version => { this.heardOfConfiguration(version) },
        ownConfiguration: () => this.configuration?.version ?? 0
      },
      decide: async (term, version) => { await this.decide(term, version) }
    })
  }

  /** @returns the configuration in force */
  get configuration (): Configuration | undefined {
    return this.configurationFeed.current
  }

  /** @returns whether callers are well served here */
  get ready (): boolean {
    if (this.configuration === undefined) return false
    if (this.decider !== undefined) return this.entry.storeReachable
    const { follower } = this.membership
    return follower !== undefined && (this.entry.storeReachable || follower.deciderStoreSilence < DECIDER_STORE_SILENCE)
  }

  /** @returns the decider, while it is this node */
  get deciding (): Decider | undefined {
    return this.decider
  }

  /** Joins the others. */
  start (): void {
    const { log } = this.options
    detach(this.configurationFeed.start(), log, 'configuration')
    detach(this.membership.run(), log, 'membership')
  }

  /** Claims nothing any more, and hands the term over if it is held here. */
  async retire (patience: number): Promise<void> {
    const { clock } = this.options
    this.membership.retire()
    const until = clock.now() + patience
    for (let attempt = 0; this.decider !== undefined && clock.now() < until; attempt++) {
      this.decider.pause()
      if (this.followers?.callSuccessor('stopping', attempt) === undefined) return
      const next = clock.now() + SUCCESSION_PATIENCE
      while (this.decider !== undefined && clock.now() < next) await clock.sleep(SUCCESSION_CHECK)
    }
  }

  /** Leaves the others. */
  stop (): void {
    this.configurationFeed.stop()
    this.membership.stop()
    this.decider?.stop()
    this.check?.cancel()
    this.followers?.close()
  }

  /** Takes a link of another node. */
  greet (link: DownLink): void {
    link.onMessage = message => {
      if (message.kind === 'hello' && this.followers !== undefined) this.followers.add(link, message)
      else link.send({ kind: 'elsewhere' })
    }
  }

  override async ask (question: Question, timeout: number): Promise<Answer | undefined> {
    if (this.decider !== undefined) return this.decider.ready ? this.decider.answer(question) : undefined
    return await this.membership.follower?.ask(question, timeout)
  }

  override tellJob (job: Job): void {
    if (this.decider === undefined) this.membership.follower?.tellJob(job)
    else if (this.decider.ready) this.decider.addJob(job, 'link')
  }

  override tellCancel (id: string): void {
    if (this.decider === undefined) this.membership.follower?.tellCancel(id)
    else this.decider.cancel(id)
  }

  override async record (wish: Wish, deadline: number): Promise<WriteOutcome | undefined> {
    if (this.decider !== undefined) return undefined
    return await this.membership.follower?.record(wish, deadline - this.options.clock.now())
  }

  private async decide (term: Term, version: number): Promise<void> {
    const { store, orders, reader, clock, log, node, advisor, retention, leaseMax } = this.options
    let deposed!: () => void
    const lost = new Promise<void>(resolve => { deposed = resolve })
    const followers: Followers = new Followers({
      clock,
      log,
      fence: term.fence,
      events: {
        job: job => { if (decider.ready) decider.addJob(job, 'link') },
        cancel: id => { decider.cancel(id) },
        answer: question => decider.ready ? decider.answer(question) : notYet(question),
        configuration: () => this.configuration?.version ?? 0,
        outrun: () => { decider.confirm() },
        record: async (wish, patience) => await this.entry.write(wish, clock.now() + patience - RECORD_RESERVE),
        storeSilence: () => store.silence()
      }
    })
    const decider: Decider = new Decider({
      store,
      orders,
      reader,
      clock,
      log,
      term,
      version,
      configuration: () => this.configuration,
      askers: () => [node, ...followers.nodes],
      ask: async (asker, question): Promise<Advice> => asker === node ? await advisor.advise(question) : await followers.ask(asker, question),
      backed: () => followers.storeSilences().length > 0 && followers.storeSilences().every(silence => silence > STORE_PATIENCE),
      deposed,
      retention,
      lease: Math.min(LEASE, leaseMax)
    })
    this.decider = decider
    this.followers = followers
    this.check = clock.repeat(STORE_CHECK_PERIOD, () => {
      this.offerTerm(decider)
      this.yieldToStronger(decider)
    })
    detach(decider.start(), log, 'decider')
    await lost
    this.check.cancel()
    this.decider = undefined
    this.followers = undefined
    followers.close()
  }

  /** A decider that the store does not answer lets a follower try that it does answer. A slow store is slow for all. */
  private offerTerm (decider: Decider): void {
    const { clock, store } = this.options
    const now = clock.now()
    const silence = Math.min(store.silence(), now - decider.confirmedAt)
    if (silence < STORE_PATIENCE || now - this.lastOffer < LINK_SILENCE) return
    this.lastOffer = now
    this.followers?.callSuccessor('store-unreachable', this.offers++, silence - STORE_ADVANTAGE)
  }

  /** A weak instance decides only until a much stronger one follows. */
  private yieldToStronger (decider: Decider): void {
    const { clock, strength } = this.options
    const now = clock.now()
    if (!decider.ready || this.followers === undefined || now - this.lastOffer < YIELD_PERIOD) return
    if (this.followers.bestStrength < STRONGER_FACTOR * strength) return
    this.lastOffer = now
    this.followers.callSuccessor('stronger', 0)
  }

  private heardOfConfiguration (version: number): void {
    if (version > (this.configuration?.version ?? 0)) detach(this.configurationFeed.refresh(), this.options.log, 'configuration')
  }
}

function notYet (question: Question): Answer {
  return question.about === 'job' ? { about: 'job', phase: 'unknown' } : { about: 'queue', waiting: -1 }
}
