import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { ServerDuplexStream } from '@grpc/grpc-js'
import type { Address, Clock, Incarnation, Receiver, Timer } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import type { Envelope, Frame, Reply } from '../types/wire.js'
import { decodeMessage } from '../utils/codec.js'
import { isValidProof, makeNonce, makeProof } from '../utils/proof.js'
import { CHANNEL_OPTIONS, FROM_KEY, NONCE_KEY, Peer } from './service.js'

type Channel = ServerDuplexStream<Frame, Reply>

/** Delay before received frames are acknowledged, so that one acknowledgement covers several frames. */
const ACKNOWLEDGEMENT_DELAY_MS = 250

/** Maximum length of logged text that another node sent, which may be unauthenticated. */
const MAX_LOGGED_LENGTH = 64

/** Options of the peer server. */
export interface PeerServerOptions {
  self: Incarnation
  address: Address
  secret: string
  clock: Clock
  log: Log
  receive: Receiver
}

/** Listening side of the peer protocol. Accepts frames only from nodes that have proved that they know the shared secret. */
export class PeerServer {
  private readonly server = new Server(CHANNEL_OPTIONS)

  constructor (private readonly options: PeerServerOptions) {
    this.server.addService(Peer.service, { Channel: (channel: Channel) => { this.accept(channel) } })
  }

  /**
   * Starts listening.
   *
   * @returns the bound address, with the port that the operating system chose if it was 0
   * @throws Error when the address cannot be bound
   */
  async listen (): Promise<Address> {
    const { host, port } = this.options.address
    const bound = await new Promise<number>((resolve, reject) => {
      this.server.bindAsync(`${host}:${port}`, ServerCredentials.createInsecure(), (error, chosen) => {
        if (error === null) resolve(chosen)
        else reject(error)
      })
    })
    this.options.log.write(EVENTS.listening, { host, port: bound })
    return { host, port: bound }
  }

  /** Stops listening and closes every connection. */
  close (): void {
    this.server.forceShutdown()
  }

  private accept (channel: Channel): void {
    const from = String(channel.metadata.get(FROM_KEY)[0] ?? '')
    const nonce = Buffer.from(String(channel.metadata.get(NONCE_KEY)[0] ?? ''), 'hex')
    if (from === '' || nonce.length === 0) {
      this.reject(channel, from, 'it sent no name or no nonce')
      return
    }
    const challenge = makeNonce()
    const { self, secret } = this.options
    channel.write({ challenge: { self, nonce: challenge, digest: makeProof(secret, 'callee', nonce, self, from) }, received: 0 })
    this.receiveFrames(channel, from, makeProof(secret, 'caller', challenge, from, self))
  }

  private receiveFrames (channel: Channel, from: Incarnation, expected: Buffer): void {
    const { clock } = this.options
    let isAuthenticated = false
    let received = 0
    let acknowledgement: Timer | null = null
    const acknowledge = (): void => {
      acknowledgement = null
      channel.write({ challenge: null, received })
    }
    channel.on('data', (frame: Frame) => {
      received++
      if (!isAuthenticated) {
        isAuthenticated = frame.proof !== null && frame.proof.from === from && isValidProof(expected, frame.proof.digest)
        if (!isAuthenticated) {
          this.reject(channel, from, 'it does not know the secret')
          return
        }
      }
      acknowledgement ??= clock.schedule(ACKNOWLEDGEMENT_DELAY_MS, acknowledge)
      for (const envelope of frame.messages) this.deliver(from, envelope)
    })
    const end = (): void => {
      acknowledgement?.cancel()
      channel.end()
    }
    channel.on('end', end)
    channel.on('error', end)
    channel.on('cancelled', end)
  }

  private deliver (from: Incarnation, envelope: Envelope): void {
    const message = decodeMessage(envelope)
    if (message === null) {
      this.options.log.write(EVENTS.malformed, { from, body: String(envelope.body).slice(0, MAX_LOGGED_LENGTH) })
      return
    }
    this.options.receive(from, message)
  }

  private reject (channel: Channel, from: string, reason: string): void {
    this.options.log.write(EVENTS.refused, { from: from.slice(0, MAX_LOGGED_LENGTH), address: channel.getPeer(), reason })
    channel.removeAllListeners('data')
    channel.on('data', () => {})
    channel.emit('error', { code: status.UNAUTHENTICATED, details: reason })
  }
}
