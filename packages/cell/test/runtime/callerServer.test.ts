import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { SystemClock } from '@rattanstep/core'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import type { LogFields } from '@rattanstep/telemetry'
import { Err } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { CallerCodec, CallerServer, defaultLimits, LimitMonitor, SMALLEST_MACHINE } from '../../src/index.js'
import type { Configuration, Credential, Gateway, JobSubmission } from '../../src/index.js'

/** Time for which a connection is watched for an answer that must not come. */
const SILENCE_MS = 100
/** Time limit for an answer that must come. */
const LIMIT_MS = 10_000

async function waitUntil (isMet: () => boolean, limit: number): Promise<void> {
  const end = performance.now() + limit
  while (!isMet() && performance.now() < end) await sleep(5)
}

/** Takes the whole header `authorization` as the key and can read no body. */
class PlainCodec extends CallerCodec {
  override decodeSubmission (): Result<JobSubmission, string> {
    return Err('read')
  }

  override encodePhase (): string {
    return ''
  }

  override encodeWaitingCount (): string {
    return ''
  }

  override timeout (headers: NodeJS.Dict<string | string[]>): number | undefined {
    return headers.deadline === undefined ? undefined : Number(headers.deadline)
  }

  override credential (headers: NodeJS.Dict<string[]>): Credential {
    return { kind: 'key', key: headers.authorization?.join() ?? '' }
  }

  override requestId (): string {
    return 'q'
  }
}

function configurationOf (key: string): Configuration {
  return { version: 1, routes: [{ name: 'r', host: 'h', prefix: '/', service: 's', priority: 0, maxAttempts: 1, stretch: 1, latencyObjective: 1 }], maxBody: 100, organisations: [{ name: 'o', keys: [key], weight: 1, cap: { cpu: 0, memory: 0, accelerators: 0 } }] }
}

/** Sends the head of a submission with a body of 10 bytes, waits, calls `next`, then sends the body; returns the answer and the state of the connection before and after the body. */
async function submit ({ head, next = () => {}, gateway = {}, method = 'POST' }: { head: string, method?: string, next?: (configure: (configuration: Configuration) => void) => void, gateway?: Partial<Gateway> }): Promise<{ early: string, late: string, refusals: LogFields[] }> {
  let configuration = configurationOf('good')
  const log = new MemoryLog()
  const metrics = new Metrics()
  const clock = new SystemClock()
  const server = new CallerServer({
    limits: defaultLimits(SMALLEST_MACHINE.memory, SMALLEST_MACHINE.descriptors), monitor: new LimitMonitor({ clock, log, metrics }), gateway: gateway as unknown as Gateway, codec: new PlainCodec(), clock, log, metrics, configuration: () => configuration, isConfigurationConfirmed: () => true, configurationOrigin: () => ({ source: 'link', age: 5 }), arrivalTime: () => performance.now(), storeTime: () => 0, storeSilence: () => 0
  })
  const listening = server.listen('127.0.0.1', 0)
  await new Promise(resolve => { listening.once('listening', resolve) })
  const socket = connect((listening.address() as AddressInfo).port, '127.0.0.1')
  let all = ''
  let end = 'open'
  socket.setEncoding('utf8').on('data', (text: string) => { all += text }).on('end', () => { end = 'ended' }).on('error', error => { end = error.message })
  socket.write(`${method} /00000000000000aa HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n${head}\r\n\r\n`)
  await waitUntil(() => all !== '', head.includes('bad') ? LIMIT_MS : SILENCE_MS)
  const early = `${all.split('\r\n')[0]!}, ${end}`
  next(value => { configuration = value })
  socket.write('0123456789')
  await waitUntil(() => all !== '' && (end !== 'open' || !head.includes('close')), LIMIT_MS)
  socket.destroy()
  server.close()
  listening.closeAllConnections()
  return { early, late: `${all.split('\r\n')[0]!}, ${end}`, refusals: log.lines.map(({ fields }) => fields) }
}

async function answersOf (request: Parameters<typeof submit>[0]): Promise<{ early: string, late: string }> {
  const { early, late } = await submit(request)
  return { early, late }
}

describe('a submission whose body has not arrived', () => {
  // Guards against memory that callers without a valid key can use up, and against answers that a reset of the connection discards.
  test('is refused at once for a wrong key, and a connection that is to be closed stays until the body has arrived', async () => {
    expect(await answersOf({ head: 'authorization: bad' })).toEqual({ early: 'HTTP/1.1 401 Unauthorized, open', late: 'HTTP/1.1 401 Unauthorized, open' })
    expect(await answersOf({ head: 'authorization: bad\r\nconnection: close' })).toEqual({ early: 'HTTP/1.1 401 Unauthorized, open', late: 'HTTP/1.1 401 Unauthorized, ended' })
  })

  // Guards against a refusal whose cause can't be found, and against keys in the log.
  test('is logged when it is refused, with version, source and age of the configuration and without the key', async () => {
    const { refusals } = await submit({ head: 'authorization: bad' })
    expect(refusals.map(({ storeSilence, ...fields }) => fields)).toEqual([{ request: 'q', status: 401, reason: 'unknown key', configuration: 1, configurationAge: 5, configurationSource: 'link' }])
  })

  // Guards against a job that is accepted with a key that was revoked while a slow body arrived.
  test('is read for a valid key, and refused if the key was revoked meanwhile', async () => {
    expect(await answersOf({ head: 'authorization: good' })).toEqual({ early: ', open', late: 'HTTP/1.1 400 Bad Request, open' })
    expect(await answersOf({ head: 'authorization: good', next: configure => { configure(configurationOf('other')) } })).toEqual({ early: ', open', late: 'HTTP/1.1 401 Unauthorized, open' })
  })
})

// Guards against a caller that names a deadline of days: its connection and its place among the writes that wait were taken until then while the store was away.
test('a request waits no longer than the limit, whatever deadline its caller names', async () => {
  const waits: number[] = []
  const cancel = async (_id: string, deadline: number): Promise<{ kind: 'unknown-job' }> => {
    waits.push(deadline - performance.now())
    return { kind: 'unknown-job' }
  }
  await submit({ method: 'DELETE', head: 'authorization: good\r\ndeadline: 1000000000', gateway: { cancel } })
  expect(waits.length).toEqual(1)
  expect(waits[0]!).toBeLessThanOrEqual(defaultLimits(SMALLEST_MACHINE.memory, SMALLEST_MACHINE.descriptors).requestTimeout)
})
