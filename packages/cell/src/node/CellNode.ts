import type { IncomingMessage } from 'node:http'
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
import { findRowProblem } from '../runtime/findRowProblem.js'
import { InstrumentedStore } from '../runtime/InstrumentedStore.js'
import type { OrganisationStatus } from '../organisations/OrganisationTable.js'
import { PauseMonitor } from '../runtime/PauseMonitor.js'
import { answerExplainRequest, isExplainPath } from '../explain/answerExplainRequest.js'
import type { TextResponse } from '../explain/answerExplainRequest.js'
import { CALLER_LIMITS, CallerServer } from './CallerServer.js'
import { TcpLinkConnector, listenForLinks } from './TcpLink.js'
import { TrafficMeter } from './TrafficMeter.js'

/** Time after the start of a planned stop during which new connections may still arrive: two failed readiness checks and a margin. */
const DEREGISTRATION_DELAY_MS = 2300
/** Part of the grace period that is reserved for the shutdown itself. */
const SHUTDOWN_RESERVE_MS = 700
/** Interval at which a stopping node checks whether all requests are answered. */
const DRAIN_POLL_INTERVAL_MS = 20

/** Maximum number of organisations with gauges: names come and go with versions of the configuration, and gauges stay until the process ends. */
const MAX_MEASURED_ORGANISATIONS = 100
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
  /** Organisations with gauges. */
  private readonly measuredOrganisations = new Set<string>()
  private readonly limits: ClientLimits
  private readonly limitMonitor: LimitMonitor
  private stopped: Promise<void> | undefined

  constructor (private readonly options: CellNodeOptions) {
    const { settings, clock, log, metrics, codec } = options
    this.linkTraffic = new TrafficMeter({ metrics, name: 'link' })
    this.limits = settings.limits ?? defaultLimits(SMALLEST_MACHINE.memory, SMALLEST_MACHINE.descriptors)
    this.limitMonitor = new LimitMonitor({ clock, log, metrics })
    this.limitMonitor.register([...CALLER_LIMITS, 'statusConnections', 'links', 'newLinks', 'helloChars', 'helloTimeout', 'waitingWrites', 'waitingQueries', 'logBytes', 'openJobBytes', 'openTasks', 'deferredJobs'])
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
      preempts: settings.overload?.preemption,
      refuses: settings.overload?.admission,
      limits: this.limits,
      onLimit: limit => { this.limitMonitor.reach(limit) },
      connector: new TcpLinkConnector<DeciderMessage, FollowerMessage>(this.linkTraffic)
    })
    this.pauses = new PauseMonitor({ clock, log })
    this.callers = new CallerServer({
      limits: this.limits, monitor: this.limitMonitor, gateway: this.cell.gateway, findExcess: job => findRowProblem(job, store.limits.rowBytes) ?? this.cell.openJobGate.findProblem(job), codec, clock, log, metrics, configuration: () => this.cell.configuration, isConfigurationConfirmed: () => this.cell.isConfigurationConfirmed, configurationOrigin: () => ({ source: this.cell.configurationSource, age: this.cell.configurationAge }), arrivalTime: () => this.pauses.earliestArrival(), storeTime: () => store.now(), storeSilence: () => store.silentFor()
    })
    metrics.gauge('deciding', () => this.cell.activeDecider === undefined ? 0 : 1)
    metrics.gauge('store_silence_ms', () => Math.min(store.silentFor(), Number.MAX_SAFE_INTEGER))
    metrics.gauge('configuration_version', () => this.cell.configuration?.version ?? 0)
    metrics.gauge('configuration_age_ms', () => Math.min(this.cell.configurationAge, Number.MAX_SAFE_INTEGER))
    metrics.gauge('configuration_from_link', () => this.cell.configurationSource === 'link' ? 1 : 0)
    metrics.gauge('open_requests', () => this.callers.openRequests)
    metrics.gauge('caller_connections', () => this.callers.connections)
    metrics.gauge('caller_body_bytes', () => this.callers.heldBytes)
    metrics.gauge('processor_seconds', readProcessorSeconds)
    for (const reason of WAIT_REASONS) metrics.gauge('waiting_steps', () => this.cell.activeDecider?.waits.counts.get(reason) ?? 0, { reason })
    metrics.gauge('tasks_given_up', () => this.cell.activeDecider?.tasksGivenUp ?? 0)
    metrics.gauge('worker_speed_lowest', () => this.cell.activeDecider?.workerSpeeds.lowest ?? 1)
    metrics.gauge('worker_speed_highest', () => this.cell.activeDecider?.workerSpeeds.highest ?? 1)
    metrics.gauge('worker_speed_spread', () => this.cell.activeDecider?.workerSpeeds.spread ?? 0)
    metrics.gauge('backlog_core_seconds', () => this.cell.activeDecider?.backlog?.waiting.reduce((sum, each) => sum + each, 0) ?? 0)
    metrics.gauge('start_rate_cores', () => this.cell.activeDecider?.backlog?.rate ?? 0)
    metrics.gauge('open_job_bytes', () => this.cell.activeDecider?.openJobs.totals.held ?? 0)
    metrics.gauge('open_job_bytes_peak', () => this.cell.activeDecider?.openJobs.totals.peak ?? 0)
    metrics.gauge('open_task_objects', () => this.cell.activeDecider?.registry.tasks.open ?? 0)
    metrics.gauge('starts_allowed', () => this.cell.activeDecider?.startsAllowed ?? 0)
    metrics.gauge('deferred_jobs', () => this.cell.activeDecider?.openJobs.waiting ?? 0)
    metrics.gauge('rejected_records', () => this.cell.activeDecider?.rejectedRecords ?? 0)
    metrics.gauge('longest_record_chars', () => this.cell.activeDecider?.longestRecord ?? 0)
    metrics.gauge('commits', () => this.cell.activeDecider?.commits ?? 0)
  }

  /** @returns whether this node can serve callers */
  get isReady (): boolean {
    return this.stopped === undefined && this.cell.isReady
  }

  /** Renders the metrics, with the counts by priority and organisation as they are now. */
  private renderMetrics (): string {
    const { metrics } = this.options
    const setAll = (name: string, counts: ReadonlyMap<string, number>): void => {
      for (const [key, count] of counts) {
        const [priority = '', organisation = ''] = key.split(' ', 2)
        metrics.gauge(name, () => count, { priority, organisation })
      }
    }
    setAll('jobs_refused', this.cell.admission.refusals)
    setAll('runs_preempted', this.cell.activeDecider?.preemptions ?? new Map<string, number>())
    return metrics.render()
  }

  /** Opens the ports and joins the cell. */
  start (): void {
    const { settings, log } = this.options
    this.callers.listen(...parseEndpoint(settings.listen.callers))
    this.servers.push(
      listenForLinks<FollowerMessage, DeciderMessage>({ host: settings.ip, port: settings.listen.linkPort }, link => { this.cell.acceptLink(link) }, this.linkTraffic, { ...this.limits, monitor: this.limitMonitor }),
      this.serveText(parseEndpoint(settings.listen.readiness), async () => ({ status: this.isReady ? 200 : 503, text: '' })),
      this.serveText([settings.ip, settings.listen.metricsPort], async ({ method, url = '/' }) => {
        if (isExplainPath(url)) return await answerExplainRequest({ method, url }, async query => await this.cell.explain(query))
        this.registerOrganisations()
        return { status: 200, text: this.renderMetrics() }
      }))
    this.pauses.start()
    this.cell.start()
    log.write(CELL_EVENTS.started, { addresses: settings.listen, dataCentre: settings.dataCentre })
  }

  /** Adds gauges of the organisations that are new in the configuration. */
  private registerOrganisations (): void {
    const { metrics } = this.options
    for (const { name: organisation } of this.cell.configuration?.organisations ?? []) {
      if (this.measuredOrganisations.has(organisation) || this.measuredOrganisations.size >= MAX_MEASURED_ORGANISATIONS) continue
      this.measuredOrganisations.add(organisation)
      const read = (valueOf: (status: OrganisationStatus) => number) => (): number => {
        const decider = this.cell.activeDecider
        return decider === undefined ? 0 : valueOf(decider.organisationStatus(organisation))
      }
      metrics.gauge('organisation_cpu', read(({ usage }) => usage.cpu), { organisation })
      metrics.gauge('organisation_memory_mb', read(({ usage }) => usage.memory), { organisation })
      metrics.gauge('organisation_share', read(({ share }) => share), { organisation })
      metrics.gauge('organisation_waiting_jobs', read(({ waiting }) => waiting), { organisation })
    }
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

  private serveText ([host, port]: [string, number], read: (request: IncomingMessage) => Promise<TextResponse>): PortServer {
    const { limits, limitMonitor, options: { clock, log } } = this
    const server = new PortServer({
      clock,
      log,
      limits: { ...limits, connections: limits.statusConnections },
      bodyBytes: limits.statusConnections * STATUS_CONNECTION_BYTES,
      monitor: limitMonitor,
      connectionLimit: 'statusConnections',
      handle: async ({ message }) => {
        const { status, text, type = 'text/plain' } = await read(message)
        return { status, headers: { 'content-type': type }, body: text }
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
