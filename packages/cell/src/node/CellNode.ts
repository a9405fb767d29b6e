import type { Metrics } from '@rattanstep/telemetry'
import { LimitMonitor } from '../callers/LimitMonitor.js'
import { PortServer } from '../callers/PortServer.js'
import { SMALLEST_MACHINE, defaultLimits } from '../callers/limits.js'
import type { ClientLimits } from '../callers/limits.js'
import type { CallerCodec } from '../types/callers.js'
import { CELL_EVENTS } from '../types/events.js'
import type { DeciderMessage, FollowerMessage } from '../types/links.js'
import type { CellSettings } from '../types/settings.js'
import { Cell } from '../runtime/Cell.js'
import type { CellOptions } from '../runtime/Cell.js'
import { WAIT_REASONS } from '../runtime/explainWait.js'
import { InstrumentedStore } from '../runtime/InstrumentedStore.js'
import { PauseMonitor } from '../runtime/PauseMonitor.js'
import { CALLER_LIMITS, CallerServer } from './CallerServer.js'
import { TcpLinkConnector, listenForLinks } from './TcpLink.js'
import { TrafficMeter } from './TrafficMeter.js'

/** Time after the start of a planned stop during which new connections may still arrive: two failed readiness checks and a margin. */
const DEREGISTRATION_DELAY_MS = 2300
/** Part of the grace period that is reserved for the shutdown itself. */
const SHUTDOWN_RESERVE_MS = 700
/** Interval at which a stopping node checks whether all requests are answered. */
const DRAIN_POLL_INTERVAL_MS = 20

/** Bytes that a connection of a status port may have read ahead: two reads from the kernel's buffer. */
const STATUS_CONNECTION_BYTES = 131_072

/** Options of a node. */
export interface CellNodeOptions extends Omit<CellOptions, 'node' | 'dataCentre' | 'strength' | 'address' | 'retention' | 'leaseMax' | 'connector' | 'limits' | 'onLimit'> {
  settings: CellSettings
  codec: CallerCodec
  metrics: Metrics
}

/** A process of the cell, with its sockets. */
export class CellNode {
  private readonly cell: Cell
  private readonly callers: CallerServer
  private readonly pauses: PauseMonitor
  private readonly servers: Array<{ close: () => unknown }> = []
  private readonly linkTraffic: TrafficMeter
  private readonly limits: ClientLimits
  private readonly limitMonitor: LimitMonitor
  private stopped: Promise<void> | undefined

  constructor (private readonly options: CellNodeOptions) {
    const { settings, clock, log, metrics, codec } = options
    this.linkTraffic = new TrafficMeter({ metrics, name: 'link' })
    this.limits = settings.limits ?? defaultLimits(SMALLEST_MACHINE.memory, SMALLEST_MACHINE.descriptors)
    this.limitMonitor = new LimitMonitor({ clock, log, metrics })
    this.limitMonitor.register([...CALLER_LIMITS, 'statusConnections', 'links', 'newLinks', 'helloChars', 'helloTimeout', 'waitingWrites', 'waitingQueries', 'logBytes'])
    const store = new InstrumentedStore({ store: options.store, clock, log, metrics })
    this.cell = new Cell({
      ...options,
      store,
      node: settings.node,
      dataCentre: settings.dataCentre,
      strength: settings.strength,
      address: settings.listen.linkAddress,
      retention: settings.bounds.finishedJobRetention,
      leaseMax: settings.bounds.leaseMax,
      limits: this.limits,
      onLimit: limit => { this.limitMonitor.reach(limit) },
      connector: new TcpLinkConnector<DeciderMessage, FollowerMessage>(this.linkTraffic)
    })
    this.pauses = new PauseMonitor({ clock, log })
    this.callers = new CallerServer({
      limits: this.limits, monitor: this.limitMonitor, gateway: this.cell.gateway, codec, clock, log, metrics, configuration: () => this.cell.configuration, arrivalTime: () => this.pauses.earliestArrival(), storeTime: () => store.now(), storeSilence: () => store.silentFor()
    })
    metrics.gauge('deciding', () => this.cell.activeDecider === undefined ? 0 : 1)
    metrics.gauge('store_silence_ms', () => Math.min(store.silentFor(), Number.MAX_SAFE_INTEGER))
    metrics.gauge('open_requests', () => this.callers.openRequests)
    metrics.gauge('caller_connections', () => this.callers.connections)
    metrics.gauge('caller_body_bytes', () => this.callers.heldBytes)
    metrics.gauge('processor_seconds', readProcessorSeconds)
    for (const reason of WAIT_REASONS) metrics.gauge('waiting_steps', () => this.cell.activeDecider?.waits.counts.get(reason) ?? 0, { reason })
    metrics.gauge('tasks_given_up', () => this.cell.activeDecider?.tasksGivenUp ?? 0)
    metrics.gauge('commits', () => this.cell.activeDecider?.commits ?? 0)
  }

  /** @returns whether this node can serve callers */
  get isReady (): boolean {
    return this.stopped === undefined && this.cell.isReady
  }

  /** Opens the ports and joins the cell. */
  start (): void {
    const { settings, log, metrics } = this.options
    this.callers.listen(...parseEndpoint(settings.listen.callers))
    this.servers.push(
      listenForLinks<FollowerMessage, DeciderMessage>({ host: settings.ip, port: settings.listen.linkPort }, link => { this.cell.acceptLink(link) }, this.linkTraffic, { ...this.limits, monitor: this.limitMonitor }),
      this.serveText(parseEndpoint(settings.listen.readiness), () => ({ status: this.isReady ? 200 : 503, text: '' })),
      this.serveText([settings.ip, settings.listen.metricsPort], () => ({ status: 200, text: metrics.render() })))
    this.pauses.start()
    this.cell.start()
    log.write(CELL_EVENTS.started, { addresses: settings.listen, dataCentre: settings.dataCentre })
  }

  /** Performs a planned stop: hands the term over, completes the requests in flight, then closes all sockets. Later calls wait for the first. */
  async stop (): Promise<void> {
    this.stopped ??= this.performStop()
    await this.stopped
  }

  private async performStop (): Promise<void> {
    const { clock, log, settings } = this.options
    const startedAt = clock.now()
    const timeout = settings.bounds.grace - SHUTDOWN_RESERVE_MS
    log.write(CELL_EVENTS.stopping, { open: this.callers.openRequests })
    this.callers.startClosing()
    await this.cell.handOver(timeout)
    await clock.sleep(Math.max(0, DEREGISTRATION_DELAY_MS - (clock.now() - startedAt)))
    this.callers.close()
    while (this.callers.openRequests > 0 && clock.now() - startedAt < timeout) await clock.sleep(DRAIN_POLL_INTERVAL_MS)
    log.write(CELL_EVENTS.stopped, { open: this.callers.openRequests })
    this.pauses.stop()
    this.cell.stop()
    for (const server of this.servers) server.close()
    this.limitMonitor.stop()
  }

  private serveText ([host, port]: [string, number], read: () => { status: number, text: string }): PortServer {
    const { limits, limitMonitor, options: { clock, log } } = this
    const server = new PortServer({
      clock,
      log,
      limits: { ...limits, connections: limits.statusConnections },
      bodyBytes: limits.statusConnections * STATUS_CONNECTION_BYTES,
      monitor: limitMonitor,
      connectionLimit: 'statusConnections',
      handle: async () => {
        const { status, text } = read()
        return { status, headers: { 'content-type': 'text/plain' }, body: text }
      }
    })
    server.listen(host, port)
    return server
  }
}

/** @returns processor time that this process has used, in s */
function readProcessorSeconds (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1e6
}

function parseEndpoint (address: string): [string, number] {
  const [host, port] = address.split(':')
  return [host!, Number(port)]
}
