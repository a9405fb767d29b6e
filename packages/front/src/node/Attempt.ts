import type { Dispatcher as Undici } from 'undici'
import type { Clock, Timer } from '@rattanstep/core'
import type { AnswerSink, Framing, HeaderList, Run, RunEnd, RunFault, RunStep } from '../types/run.js'
import type { Connection } from './Connection.js'
import { endToEnd, headerValue, pairHeaders, allowedTrailers } from './headers.js'

/** Statuses of answers that have no body. */
const BODILESS_STATUSES = new Set([204, 304])

/** Options of `Attempt`. */
export interface AttemptOptions {
  run: Run
  sink: AnswerSink
  connection: Connection
  clock: Clock
  /** Called once, when the attempt has ended. */
  onEnd: (end: RunEnd) => void
}

/**
 * One attempt to run a request on one connection. Forwards the answer, and abandons the attempt when no byte arrives for
 * the probe time, when the bound has passed, or when the caller has left.
 */
export class Attempt implements Undici.DispatchHandler {
  private step: RunStep = 'dispatching'
  private controller: Undici.DispatchController | null = null
  private isFinished = false
  private startedAt: number
  private framing: Framing = 'delimited'
  private probeTimer: Timer | null = null
  private readonly boundTimer: Timer
  private readonly onAbort = (): void => { this.abandon(abortFault(this.options.run.signal)) }

  constructor (private readonly options: AttemptOptions) {
    const { run, clock } = options
    this.startedAt = clock.now()
    this.boundTimer = clock.schedule(run.bound, () => { this.abandon(run.boundBy) })
    run.signal.addEventListener('abort', this.onAbort, { once: true })
  }

  /** Sends the request. */
  start (): void {
    const { run, connection } = this.options
    const { method, path, headers, body } = run
    if (run.signal.aborted) {
      this.onAbort()
      return
    }
    connection.dispatch({ method, path, headers, body }, this)
  }

  /**
   * Abandons the attempt: closes its connection, which is never used again, and ignores everything that arrives later.
   *
   * @param fault - why the attempt is abandoned
   */
  abandon (fault: RunFault): void {
    if (this.isFinished) return
    this.finish(fault, `abandoned: ${fault}`)
    this.controller?.abort(new Error(fault))
    this.options.connection.close()
  }

  onRequestStart (controller: Undici.DispatchController): void {
    const { run, clock, connection, sink } = this.options
    this.controller = controller
    if (this.isFinished) {
      controller.abort(new Error('the attempt ended before the first byte was sent'))
      return
    }
    if (clock.now() >= run.validUntil) {
      this.abandon('stale-permit')
      return
    }
    connection.markActive()
    this.step = 'sending'
    this.startedAt = clock.now()
    this.restartProbeTimer()
    sink.sending()
  }

  onResponseStart (controller: Undici.DispatchController, status: number, _headers: unknown, message?: string): void {
    if (this.isFinished || status < 200) return
    this.options.connection.markActive()
    const raw = pairHeaders((controller.rawHeaders ?? []) as Buffer[])
    this.step = 'answering'
    this.framing = this.framingOf(status, raw)
    this.restartProbeTimer()
    const head = { status, message: message ?? '', headers: endToEnd(raw), framing: this.framing }
    try {
      this.options.sink.head(head, () => { this.resume() })
    } catch {
      // `writeHead` rejects a head with bytes that are not allowed in HTTP, so nothing of the answer was sent.
      this.step = 'sending'
      this.abandon('garbage')
    }
  }

  onResponseData (controller: Undici.DispatchController, chunk: Buffer): void {
    if (this.isFinished) return
    this.options.connection.markActive()
    if (this.options.sink.data(chunk)) {
      this.restartProbeTimer()
      return
    }
    this.probeTimer?.cancel()
    controller.pause()
  }

  onResponseEnd (controller: Undici.DispatchController): void {
    if (this.isFinished) return
    if (this.framing === 'until-close' && this.options.connection.isErrored) {
      this.abandon('reset')
      return
    }
    this.step = 'ended'
    this.options.connection.markActive()
    this.options.sink.end(this.trailers(controller))
    this.finish(null, '')
  }

  onResponseError (_controller: Undici.DispatchController, error: Error): void {
    if (this.isFinished) return
    const { code, message } = error as Error & { code?: string }
    this.finish(classifyError(code, this.step, this.options.run), code === undefined ? message : `${code}: ${message}`)
    this.options.connection.close()
  }

  private resume (): void {
    if (this.isFinished) return
    this.restartProbeTimer()
    this.controller?.resume()
  }

  private trailers (controller: Undici.DispatchController): HeaderList {
    return allowedTrailers(pairHeaders((controller.rawTrailers ?? []) as Buffer[]))
  }

  private restartProbeTimer (): void {
    this.probeTimer?.cancel()
    const { clock, run } = this.options
    this.probeTimer = clock.schedule(run.probe, () => { this.abandon('silent') })
  }

  private framingOf (status: number, headers: HeaderList): Framing {
    if (this.options.run.method === 'HEAD' || BODILESS_STATUSES.has(status)) return 'delimited'
    const isDelimited = headerValue(headers, 'content-length') !== undefined || headerValue(headers, 'transfer-encoding') !== undefined
    return isDelimited ? 'delimited' : 'until-close'
  }

  private finish (fault: RunFault | null, detail: string): void {
    this.isFinished = true
    this.probeTimer?.cancel()
    this.boundTimer.cancel()
    this.options.run.signal.removeEventListener('abort', this.onAbort)
    const serviceTime = this.options.clock.now() - this.startedAt
    this.options.onEnd({ step: this.step, fault, detail, serviceTime })
  }
}

const UNSENDABLE_CODES = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED'])
const INVALID_ANSWER_CODES = new Set(['UND_ERR_RES_CONTENT_LENGTH_MISMATCH', 'UND_ERR_HEADERS_OVERFLOW', 'UND_ERR_RES_EXCEEDED_MAX_SIZE'])

function abortFault (signal: AbortSignal): RunFault {
  return signal.reason === 'caller-slow' ? 'caller-slow' : 'caller-gone'
}

function classifyError (code: string | undefined, step: RunStep, run: Run): RunFault {
  if (run.signal.aborted) return abortFault(run.signal)
  if (code !== undefined && UNSENDABLE_CODES.has(code)) return 'unsendable'
  if (isBodyError(code, run)) return 'body'
  if (step === 'dispatching') return 'refused'
  if (code?.startsWith('HPE_') === true || (code !== undefined && INVALID_ANSWER_CODES.has(code))) return 'garbage'
  return 'reset'
}

function isBodyError (code: string | undefined, run: Run): boolean {
  if (code === 'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH') return true
  return run.body !== null && !Buffer.isBuffer(run.body) && run.body.errored !== null
}
