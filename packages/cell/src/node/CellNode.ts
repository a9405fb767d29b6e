import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { Clock } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'
import type { Result } from 'ts-results-es'
import type { CallerCodec } from '../types/callers.js'
import type { Configuration } from '../types/configuration.js'
import { CELL_EVENTS } from '../types/events.js'
import type { Job } from '../types/job.js'
import { LINK_SILENCE, STORE_PATIENCE } from '../types/limits.js'
import type { Answer, DownMessage, Question, UpMessage } from '../types/links.js'
import type { Advice, Advisor, RowReader, WorkerOrders } from '../types/ports.js'
import type { RecordStore } from '../types/records.js'
import type { CellSettings } from '../types/settings.js'
import { ConfigurationFeed } from '../runtime/ConfigurationFeed.js'
import { Decider } from '../runtime/Decider.js'
import { DeciderAccess, Entry } from '../runtime/Entry.js'
import { Followers } from '../runtime/Followers.js'
import type { DownLink } from '../runtime/Followers.js'
import { Membership } from '../runtime/Membership.js'
import type { Term } from '../runtime/Term.js'
import { CallerServer } from './CallerServer.js'
import { TcpLinker, listenForLinks } from './TcpLink.js'
import { detach } from '../runtime/detach.js'

/** ms between checks of a decider's reach to the store. */
const STORE_CHECK_PERIOD = 150
/** ms that a successor is given to claim the term. */
const SUCCESSION_PATIENCE = 400
/** ms after a stop's beginning in which new connections may still arrive: two misses of the readiness check and a margin. */
const ROTATION_DELAY = 2300
/** ms of the grace period kept for the end. */
const GRACE_RESERVE = 700

/** What a node is made of. */
export interface CellNodeOptions {
  settings: CellSettings
  store: RecordStore
  orders: WorkerOrders
  advisor: Advisor
  reader: RowReader
  codec: CallerCodec
  readConfiguration: (value: string) => Result<Configuration, string>
  clock: Clock
  log: Log
  metrics: Metrics
}

/** One process of the cell: entry, follower and, when it holds the term, decider. */
export class CellNode extends DeciderAccess {
  private readonly configuration: ConfigurationFeed
  private readonly membership: Membership
  private readonly callers: CallerServer
  private readonly entry: Entry
  private decider: Decider | undefined
  private followers: Followers | undefined
  private readonly servers: Array<{ close: () => unknown }> = []
  private stopping = false

  constructor (private readonly options: CellNodeOptions) {
    super()
    const { settings, store, clock, log, metrics, codec } = options
    this.configuration = new ConfigurationFeed({ store, clock, log, read: options.readConfiguration })
    this.entry = new Entry({ store, clock, decider: this })
    this.callers = new CallerServer({
      entry: this.entry, codec, clock, log, metrics, configuration: () => this.configuration.current, storeTime: () => store.now(), storeSilence: () => store.silence()
    })
    this.membership = new Membership({
      store,
      linker: new TcpLinker<DownMessage, UpMessage>(),
      clock,
      log,
      node: settings.node,
      dataCentre: settings.dataCentre,
      start: String(clock.wall()),
      address: `${settings.ip}:${settings.listen.linkPort}`,
      follower: {
        advise: async question => await options.advisor.advise(question),
        configuration: version => { this.heardOfConfiguration(version) },
        ownConfiguration: () => this.configuration.current?.version ?? 0
      },
      decide: async (term, version) => { await this.decide(term, version) }
    })
    metrics.gauge('deciding', () => this.decider === undefined ? 0 : 1)
    metrics.gauge('store_silence_ms', () => Math.min(store.silence(), Number.MAX_SAFE_INTEGER))
    metrics.gauge('open_requests', () => this.callers.open)
    metrics.gauge('commits', () => this.decider?.commits ?? 0)
  }

  /** @returns whether callers are well served here */
  get ready (): boolean {
    if (this.stopping || this.configuration.current === undefined || !this.entry.storeReachable) return false
    return this.decider !== undefined || this.membership.follower !== undefined
  }

  /** Listens, joins the cell and serves. */
  start (): void {
    const { settings, log } = this.options
    this.callers.listen(...endpoint(settings.listen.callers))
    this.servers.push(
      listenForLinks<UpMessage, DownMessage>({ host: settings.ip, port: settings.listen.linkPort }, link => { this.greet(link) }),
      serveText(endpoint(settings.listen.readiness), () => ({ status: this.ready ? 200 : 503, text: '' })),
      serveText([settings.ip, settings.listen.metricsPort], () => ({ status: 200, text: this.options.metrics.render() })))
    detach(this.configuration.start(), log, 'configuration')
    detach(this.membership.run(), log, 'membership')
    log.write(CELL_EVENTS.started, { addresses: settings.listen, dataCentre: settings.dataCentre })
  }

  /** Planned stop: hands the term over, serves what is open, then resolves. */
  async stop (): Promise<void> {
    if (this.stopping) return
    const { clock, log, settings } = this.options
    const since = clock.now()
    this.stopping = true
    log.write(CELL_EVENTS.stopping, { open: this.callers.open })
    this.membership.retire()
    this.callers.beginClosing()
    await this.handOver('stopping', settings.bounds.grace - GRACE_RESERVE)
    await clock.sleep(Math.max(0, ROTATION_DELAY - (clock.now() - since)))
    this.callers.close()
    while (this.callers.open > 0 && clock.now() - since < settings.bounds.grace - GRACE_RESERVE) await clock.sleep(20)
    log.write(CELL_EVENTS.stopped, { open: this.callers.open })
    this.configuration.stop()
    this.membership.stop()
    for (const server of this.servers) server.close()
  }

  override async ask (question: Question, timeout: number): Promise<Answer | undefined> {
    if (this.decider?.ready === true) return this.decider.answer(question)
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

  private async decide (term: Term, version: number): Promise<void> {
    const { store, orders, reader, clock, log, settings, advisor } = this.options
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
        configuration: () => this.configuration.current?.version ?? 0,
        outrun: () => { decider.changed() }
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
      configuration: () => this.configuration.current,
      askers: () => [settings.node, ...followers.nodes],
      ask: async (node, question): Promise<Advice> => node === settings.node ? await advisor.advise(question) : await followers.ask(node, question),
      backed: () => followers.storeSilences().length > 0 && followers.storeSilences().every(silence => silence > STORE_PATIENCE),
      deposed,
      retention: settings.bounds.finishedJobRetention
    })
    this.decider = decider
    this.followers = followers
    const check = clock.repeat(STORE_CHECK_PERIOD, () => { this.offerTerm(decider) })
    detach(decider.start(), log, 'decider')
    await lost
    check.cancel()
    this.decider = undefined
    this.followers = undefined
    followers.close()
  }

  /** A decider that the store does not answer lets a follower try. */
  private offers = 0
  private lastOffer = 0

  private offerTerm (decider: Decider): void {
    const { clock } = this.options
    const now = clock.now()
    if (now - decider.confirmedAt < STORE_PATIENCE || now - this.lastOffer < LINK_SILENCE) return
    this.lastOffer = now
    this.followers?.callSuccessor('store-unreachable', this.offers++)
  }

  private async handOver (reason: 'stopping', patience: number): Promise<void> {
    const { clock } = this.options
    const until = clock.now() + patience
    for (let attempt = 0; this.decider !== undefined && clock.now() < until; attempt++) {
      this.decider.pause()
      if (this.followers?.callSuccessor(reason, attempt) === undefined) return
      const next = clock.now() + SUCCESSION_PATIENCE
      while (this.decider !== undefined && clock.now() < next) await clock.sleep(10)
    }
  }

  private greet (link: DownLink): void {
    link.onMessage = message => {
      if (message.kind !== 'hello' || this.followers === undefined) {
        link.send({ kind: 'elsewhere' })
        return
      }
      this.followers.add(link, message.node)
    }
  }

  private heardOfConfiguration (version: number): void {
    if (version > (this.configuration.current?.version ?? 0)) detach(this.configuration.refresh(), this.options.log, 'configuration')
  }
}

function notYet (question: Question): Answer {
  return question.about === 'job' ? { about: 'job', phase: 'unknown' } : { about: 'queue', waiting: -1 }
}

function endpoint (address: string): [string, number] {
  const [host, port] = address.split(':')
  return [host!, Number(port)]
}

function serveText ([host, port]: [string, number], read: () => { status: number, text: string }): Server {
  return createServer((_request, response) => {
    const { status, text } = read()
    response.writeHead(status, { 'content-type': 'text/plain', 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }).listen(port, host)
}
