import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { Metrics } from '@rattanstep/telemetry'
import type { CallerCodec } from '../types/callers.js'
import { CELL_EVENTS } from '../types/events.js'
import type { DownMessage, UpMessage } from '../types/links.js'
import type { CellSettings } from '../types/settings.js'
import { Cell } from '../runtime/Cell.js'
import type { CellOptions } from '../runtime/Cell.js'
import { WatchedStore } from '../runtime/WatchedStore.js'
import { CallerServer } from './CallerServer.js'
import { TcpLinker, listenForLinks } from './TcpLink.js'

/** ms after a stop's beginning in which new connections may still arrive: two misses of the readiness check and a margin. */
const ROTATION_DELAY = 2300
/** ms of the grace period kept for the end. */
const GRACE_RESERVE = 700
/** ms between looks at whether all requests are answered. */
const DRAIN_CHECK = 20

/** What a node is made of. */
export interface CellNodeOptions extends Omit<CellOptions, 'node' | 'dataCentre' | 'strength' | 'address' | 'retention' | 'leaseMax' | 'linker'> {
  settings: CellSettings
  codec: CallerCodec
  metrics: Metrics
}

/** One process of the cell with its sockets. */
export class CellNode {
  private readonly cell: Cell
  private readonly callers: CallerServer
  private readonly servers: Array<{ close: () => unknown }> = []
  private stopping = false

  constructor (private readonly options: CellNodeOptions) {
    const { settings, clock, log, metrics, codec } = options
    const store = new WatchedStore({ store: options.store, clock, log, metrics })
    this.cell = new Cell({
      ...options,
      store,
      node: settings.node,
      dataCentre: settings.dataCentre,
      strength: settings.strength,
      address: `${settings.ip}:${settings.listen.linkPort}`,
      retention: settings.bounds.finishedJobRetention,
      leaseMax: settings.bounds.leaseMax,
      linker: new TcpLinker<DownMessage, UpMessage>()
    })
    this.callers = new CallerServer({
      entry: this.cell.entry, codec, clock, log, metrics, configuration: () => this.cell.configuration, storeTime: () => store.now(), storeSilence: () => store.silence()
    })
    metrics.gauge('deciding', () => this.cell.deciding === undefined ? 0 : 1)
    metrics.gauge('store_silence_ms', () => Math.min(store.silence(), Number.MAX_SAFE_INTEGER))
    metrics.gauge('open_requests', () => this.callers.open)
    metrics.gauge('commits', () => this.cell.deciding?.commits ?? 0)
  }

  /** @returns whether callers are well served here */
  get ready (): boolean {
    return !this.stopping && this.cell.ready
  }

  /** Listens, joins the cell and serves. */
  start (): void {
    const { settings, log, metrics } = this.options
    this.callers.listen(...endpoint(settings.listen.callers))
    this.servers.push(
      listenForLinks<UpMessage, DownMessage>({ host: settings.ip, port: settings.listen.linkPort }, link => { this.cell.greet(link) }),
      serveText(endpoint(settings.listen.readiness), () => ({ status: this.ready ? 200 : 503, text: '' })),
      serveText([settings.ip, settings.listen.metricsPort], () => ({ status: 200, text: metrics.render() })))
    this.cell.start()
    log.write(CELL_EVENTS.started, { addresses: settings.listen, dataCentre: settings.dataCentre })
  }

  /** Planned stop: hands the term over, serves what is open, then resolves. */
  async stop (): Promise<void> {
    if (this.stopping) return
    const { clock, log, settings } = this.options
    const since = clock.now()
    const patience = settings.bounds.grace - GRACE_RESERVE
    this.stopping = true
    log.write(CELL_EVENTS.stopping, { open: this.callers.open })
    this.callers.beginClosing()
    await this.cell.retire(patience)
    await clock.sleep(Math.max(0, ROTATION_DELAY - (clock.now() - since)))
    this.callers.close()
    while (this.callers.open > 0 && clock.now() - since < patience) await clock.sleep(DRAIN_CHECK)
    log.write(CELL_EVENTS.stopped, { open: this.callers.open })
    this.cell.stop()
    for (const server of this.servers) server.close()
  }
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
