import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Server as RawServer, Socket } from 'node:net'
import { createServer as createRawServer } from 'node:net'
import { Err, Ok, SeededRandom, SystemClock } from '@rattanstep/core'
import type { Address, Ask, Ending, Grant, Refusal, Result } from '@rattanstep/core'
import type { ResolvedRules } from '@rattanstep/rules'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import { Dispatcher, Front, KeyRegistry, PermitSource } from '../../src/index.js'
import type { ClaimFailure, ClaimResult, DispatcherOptions, FrontOptions, Placement } from '../../src/index.js'

/** Grants every ask, on each worker in turn, unless it is given a refusal. Records the asks and the endings of released permits. */
export class FakePermitSource extends PermitSource {
  readonly held = new Set<string>()
  readonly endings: Ending[] = []
  readonly asks: Ask[] = []
  validity = 60_000

  constructor (private readonly workers: Address[], private readonly refusal: Refusal | null = null) {
    super()
  }

  override async acquire (ask: Ask): Promise<Result<Placement, Refusal>> {
    const number = this.asks.push(ask) - 1
    if (this.refusal !== null) return Err(this.refusal)
    const usable = this.workers.map((address, index) => ({ address, worker: `w${index}` }))
      .filter(({ worker }) => !ask.avoid.includes(worker))
    const choice = usable[number % Math.max(1, usable.length)]
    if (choice === undefined) return Err({ ask: ask.id, reason: 'no-worker', retryAfter: 10, redirect: '' })
    const permit = `p${number}`
    this.held.add(permit)
    return Ok({ ask: ask.id, permit, ...choice, waited: 0, version: 1, owner: 'owner', reason: 'test', candidates: [], validUntil: performance.now() + this.validity })
  }

  override release (grant: Grant, ending: Ending): void {
    if (!this.held.delete(grant.permit)) throw new Error(`permit ${grant.permit} was given back twice`)
    this.endings.push(ending)
  }
}

/** Lets every request run, whatever its key. */
export class FakeKeyRegistry extends KeyRegistry {
  override async claim (): Promise<Result<ClaimResult, ClaimFailure>> {
    return Ok({ verdict: 'first', claim: '', outcome: 'unknown', answer: null })
  }

  override settle (): void {}
}

/** Rules with a single class, `checks`. Requests below `/safe` may be repeated. */
export function sampleRules (changes: Partial<ResolvedRules['limits']> = {}, bound = 3000): ResolvedRules {
  const requestClass = {
    kind: 'request' as const,
    priority: 50,
    reserve: 0,
    most: 1,
    patience: 1000,
    bound,
    weight: 1,
    ageing: 0,
    expected: 10,
    retries: 1,
    preempts: 'nothing' as const,
    askedBy: 'tests',
    line: 1
  }
  const route = { method: '*', cores: 1, memory: 1, accelerators: 0, askedBy: 'tests', line: 1 }
  return {
    classes: [{ ...requestClass, name: 'checks' }],
    routes: [
      { ...route, path: '/safe/**', class: 'checks', idempotent: true },
      { ...route, path: '/**', class: 'checks', idempotent: false }
    ],
    teams: [],
    limits: { header: 8192, body: 1_000_000, callers: 200, perCaller: 100, headerTimeout: 1000, idleTimeout: 1000, ...changes }
  }
}

/** A front on a free port, with the objects that a test inspects. */
export interface FrontFixture {
  front: Front
  permits: FakePermitSource
  dispatcher: Dispatcher
  log: MemoryLog
  metrics: Metrics
  url: string
  address: Address
  close: () => Promise<void>
}

/** Options of the front that a test may change. */
export interface FrontFixtureOptions extends Partial<FrontOptions> {
  connections?: Partial<DispatcherOptions>
  refusal?: Refusal
}

export async function startFront (workers: Address[], options: FrontFixtureOptions = {}): Promise<FrontFixture> {
  const clock = new SystemClock()
  const log = new MemoryLog()
  const metrics = new Metrics()
  const permits = new FakePermitSource(workers, options.refusal ?? null)
  const dispatcher = new Dispatcher({ clock, log, metrics, ...options.connections })
  const front = new Front({
    address: { host: '127.0.0.1', port: 0 },
    rules: () => sampleRules(),
    permits,
    keys: new FakeKeyRegistry(),
    dispatcher,
    clock,
    random: new SeededRandom(1),
    log,
    metrics,
    nodeId: 'n1',
    ...options
  })
  const address = await front.listen()
  return { front, permits, dispatcher, log, metrics, address, url: `http://127.0.0.1:${address.port}`, close: async () => { await front.close() } }
}

/** An HTTP worker that counts the requests it ran by their path. */
export class FakeWorker {
  readonly runs = new Map<string, number>()
  private constructor (private readonly server: Server, readonly address: Address) {}

  static async start (answer: (request: IncomingMessage, response: ServerResponse) => void): Promise<FakeWorker> {
    const server = createServer()
    const address = await listen(server)
    const worker = new FakeWorker(server, address)
    server.on('request', (request, response) => {
      worker.runs.set(request.url!, (worker.runs.get(request.url!) ?? 0) + 1)
      answer(request, response)
    })
    return worker
  }

  onConnection (callback: (socket: Socket) => void): void {
    this.server.on('connection', callback)
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}

/** A worker whose test writes the bytes of each answer to the socket. */
export class RawWorker {
  runs = 0
  private readonly sockets = new Set<Socket>()
  private constructor (private readonly server: RawServer, readonly address: Address) {}

  static async start (answer: (socket: Socket, run: number) => void): Promise<RawWorker> {
    const server = createRawServer()
    const address = await listen(server)
    const worker = new RawWorker(server, address)
    server.on('connection', socket => {
      worker.sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => { worker.sockets.delete(socket) })
      socket.on('data', bytes => {
        if (!/^[A-Z]+ \//.test(bytes.toString('latin1'))) return
        answer(socket, worker.runs++)
      })
    })
    return worker
  }

  close (): void {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }
}

/** Returns an address that accepts no connections. */
export async function closedAddress (): Promise<Address> {
  const server = createRawServer()
  const address = await listen(server)
  await new Promise<void>(resolve => { server.close(() => { resolve() }) })
  return address
}

async function listen (server: Server | RawServer): Promise<Address> {
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return { host: '127.0.0.1', port: (server.address() as AddressInfo).port }
}
