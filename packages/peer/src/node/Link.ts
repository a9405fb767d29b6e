import { credentials, Metadata } from '@grpc/grpc-js'
import type { Client, ClientDuplexStream } from '@grpc/grpc-js'
import { Chart } from '@rattanstep/core'
import type { Address, Clock, Incarnation, Message, Random, Timer } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import chart from '../types/link.chart.json' with { type: 'json' }
import { EVENTS } from '../types/events.js'
import type { Envelope, Frame, Reply } from '../types/wire.js'
import { encodeMessage } from '../utils/codec.js'
import { isValidProof, makeNonce, makeProof } from '../utils/proof.js'
import { CHANNEL_OPTIONS, FROM_KEY, NONCE_KEY, Peer } from './service.js'

type LinkState = 'idle' | 'connecting' | 'open' | 'waiting' | 'closed'
type LinkEvent = 'open' | 'challenged' | 'failed' | 'silent' | 'close'

const CHART = new Chart<LinkState, LinkEvent>(chart as ConstructorParameters<typeof Chart>[0])

/** Maximum number of messages that a link queues until its connection is open. */
const MAX_QUEUED_MESSAGES = 20_000

/** Time without an acknowledgement after which a connection counts as silent. */
const SILENCE_TIMEOUT_MS = 1500

/** Delay before the first reconnection after a failure; it doubles with each further failure. */
const INITIAL_RETRY_DELAY_MS = 100

const MAX_RETRY_DELAY_MS = 2000

/** Options of a link. */
export interface LinkOptions {
  self: Incarnation
  /** The node expected at the address, or `null` to accept any node. */
  peer: Incarnation | null
  address: Address
  secret: string
  clock: Clock
  random: Random
  log: Log
  /** Called with the incarnation of the node each time it has been connected to. */
  onIdentified?: (peer: Incarnation) => void
}

/**
 * Outgoing half of the connection to one node. Messages sent in the same turn of the event loop share a frame.
 * If the other node acknowledges nothing within `SILENCE_TIMEOUT_MS`, the link closes the connection and opens a new one.
 */
export class Link {
  private state: LinkState = CHART.initial
  private client: Client | null = null
  private stream: ClientDuplexStream<Frame, Reply> | null = null
  private queue: Envelope[] = []
  private isFlushScheduled = false
  private nonce: Buffer = Buffer.alloc(0)
  /** Number of frames sent on the current connection. */
  private sentFrames = 0
  /** Number of frames that the other node has acknowledged on the current connection. */
  private acknowledgedFrames = 0
  /** Time in ms from which the wait for the next acknowledgement is counted. */
  private unacknowledgedSince = 0
  private silenceTimer: Timer | null = null
  private retryTimer: Timer | null = null
  private consecutiveFailures = 0

  constructor (private readonly options: LinkOptions) {}

  /** Opens the connection before the first message is sent. */
  open (): void {
    if (this.state === 'idle') this.connect()
  }

  /** @param message - message to send; queued until the connection is open */
  send (message: Message): void {
    if (this.state === 'closed') return
    this.queue.push(encodeMessage(message))
    if (this.queue.length > MAX_QUEUED_MESSAGES) this.dropOlderHalf()
    if (this.state === 'idle') this.connect()
    if (this.isFlushScheduled) return
    this.isFlushScheduled = true
    setImmediate(() => { this.flush() })
  }

  /** Writes the queued messages if the connection is open, then closes the link. */
  close (): void {
    if (this.state === 'open') this.flush()
    this.transition('close')
    this.retryTimer?.cancel()
    this.disconnect(true)
  }

  private get peerName (): string {
    const { peer, address } = this.options
    return peer ?? `${address.host}:${address.port}`
  }

  private dropOlderHalf (): void {
    const dropped = this.queue.length >> 1
    this.queue = this.queue.slice(dropped)
    this.options.log.write(EVENTS.overflow, { peer: this.peerName, dropped })
  }

  private connect (): void {
    if (!this.transition('open')) return
    const { address, clock } = this.options
    this.nonce = makeNonce()
    this.sentFrames = 0
    this.acknowledgedFrames = 0
    this.unacknowledgedSince = clock.now()
    this.client = new Peer(`${address.host}:${address.port}`, credentials.createInsecure(), CHANNEL_OPTIONS)
    this.stream = this.openStream(this.client)
    this.silenceTimer = clock.repeat(SILENCE_TIMEOUT_MS / 3, () => { this.checkAcknowledgements() })
  }

  private openStream (client: Client): ClientDuplexStream<Frame, Reply> {
    const metadata = new Metadata()
    metadata.set(FROM_KEY, this.options.self)
    metadata.set(NONCE_KEY, this.nonce.toString('hex'))
    const open = (client as unknown as { Channel: (metadata: Metadata) => ClientDuplexStream<Frame, Reply> }).Channel
    const stream = open.call(client, metadata)
    stream.on('data', (reply: Reply) => { if (stream === this.stream) this.handleReply(reply) })
    stream.on('error', (error: Error) => { if (stream === this.stream) this.fail('failed', error.message) })
    stream.on('end', () => { if (stream === this.stream) this.fail('failed', 'the other node closed the connection') })
    return stream
  }

  private handleReply (reply: Reply): void {
    if (reply.challenge !== null) {
      this.handleChallenge(reply.challenge)
      return
    }
    this.acknowledgedFrames = reply.received
    this.unacknowledgedSince = this.options.clock.now()
  }

  private handleChallenge (challenge: NonNullable<Reply['challenge']>): void {
    const { self, peer, address, secret, log } = this.options
    const expectedDigest = makeProof(secret, 'callee', this.nonce, challenge.self, self)
    if (!isValidProof(expectedDigest, challenge.digest)) {
      log.write(EVENTS.refused, { from: challenge.self, address: `${address.host}:${address.port}`, reason: 'it does not know the secret' })
      this.fail('failed', 'the other node does not know the secret')
      return
    }
    if (peer !== null && challenge.self !== peer) {
      this.fail('failed', `the address now belongs to ${challenge.self}`)
      return
    }
    this.transition('challenged')
    this.consecutiveFailures = 0
    log.write(EVENTS.connected, { peer: challenge.self, ...address })
    this.options.onIdentified?.(challenge.self)
    const digest = makeProof(secret, 'caller', challenge.nonce, self, challenge.self)
    this.write({ proof: { from: self, digest }, messages: [] })
    this.flush()
  }

  private flush (): void {
    this.isFlushScheduled = false
    if (this.state !== 'open' || this.queue.length === 0) return
    const messages = this.queue
    this.queue = []
    this.write({ proof: null, messages })
  }

  private write (frame: Frame): void {
    if (this.sentFrames === this.acknowledgedFrames) this.unacknowledgedSince = this.options.clock.now()
    this.sentFrames++
    this.stream?.write(frame)
  }

  private checkAcknowledgements (): void {
    const isAcknowledgementPending = this.state === 'connecting' || this.sentFrames > this.acknowledgedFrames
    if (!isAcknowledgementPending) return
    if (this.options.clock.now() - this.unacknowledgedSince < SILENCE_TIMEOUT_MS) return
    this.options.log.write(EVENTS.silent, { peer: this.peerName, unacknowledged: this.sentFrames - this.acknowledgedFrames })
    this.fail('silent', 'no acknowledgement within the silence timeout')
  }

  private fail (event: 'failed' | 'silent', reason: string): void {
    if (!this.transition(event)) return
    this.disconnect(false)
    const { clock, random, log } = this.options
    const delay = random.jitter(Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** this.consecutiveFailures))
    this.consecutiveFailures++
    log.write(EVENTS.disconnected, { peer: this.peerName, reason, retry: Math.round(delay) })
    this.retryTimer = clock.schedule(delay, () => { this.connect() })
  }

  private disconnect (gracefully: boolean): void {
    this.silenceTimer?.cancel()
    const { stream, client } = this
    this.stream = null
    this.client = null
    if (stream === null || client === null) return
    stream.on('error', () => {})
    if (gracefully) stream.end()
    else stream.cancel()
    client.close()
  }

  /** @returns whether the chart allows the event in the current state */
  private transition (event: LinkEvent): boolean {
    const next = CHART.next(this.state, event)
    if (next === null) return false
    this.state = next
    return true
  }
}
