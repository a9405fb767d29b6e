import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { RawWorker, sampleRules, startFront } from './startFront.js'

const SEED = Number(process.env['RATTANSTEP_SEED'] ?? 20_261_204)

const BODY = 'the whole answer of one caller'

const ANSWERS = [
  `HTTP/1.1 200 OK\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`,
  `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10\r\n${BODY.slice(0, 16)}\r\n${(BODY.length - 16).toString(16)}\r\n${BODY.slice(16)}\r\n0\r\n\r\n`,
  `HTTP/1.1 200 OK\r\ncontent-length: ${BODY.length}\r\nconnection: close\r\n\r\n${BODY}`
]

/** Classifies received bytes as an HTTP client would. */
function classifyResponse (text: string): 'whole' | 'cut' | 'unknown' | 'other' {
  const [head = '', body = ''] = text.split(/\r\n\r\n([^]*)/)
  if (/^HTTP\/1\.1 50[24] /.test(head)) return /rattanstep-outcome: unknown/.test(head) ? 'unknown' : 'other'
  const length = /content-length: (\d+)/i.exec(head)?.[1]
  if (length !== undefined) return body.length === Number(length) ? 'whole' : 'cut'
  return /(^|\r\n)0\r\n\r\n$/.test(body) ? 'whole' : 'cut'
}

async function call (port: number): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  let text = ''
  socket.on('data', chunk => { text += chunk.toString('latin1') })
  socket.on('error', () => {})
  socket.write('POST /once HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\nconnection: close\r\n\r\n')
  await new Promise<void>(resolve => { socket.on('close', () => { resolve() }) })
  return text
}

// The connection to a worker may end anywhere within an answer. The caller must see that the answer is incomplete.
test('an answer that is cut off at any byte is never taken for a complete one', async () => {
  let respond: (socket: Socket) => void = () => {}
  const worker = await RawWorker.start(socket => { respond(socket) })
  const fixture = await startFront([worker.address], { rules: () => sampleRules({}, 2000) })
  const counts: Record<string, number> = {}
  await fc.assert(fc.asyncProperty(fc.constantFrom(...ANSWERS), fc.double({ min: 0, max: 1, noNaN: true }), fc.boolean(), async (answer, part, reset) => {
    const length = Math.floor(part * answer.length)
    respond = socket => {
      socket.write(answer.slice(0, length), () => {
        if (reset) socket.resetAndDestroy()
        else socket.end()
      })
    }
    const verdict = classifyResponse(await call(fixture.address.port))
    counts[verdict] = (counts[verdict] ?? 0) + 1
    if (length < answer.length) expect(['cut', 'unknown']).toInclude(verdict)
  }), { seed: SEED, numRuns: 300 })
  expect(counts['cut']!).toBeGreaterThan(20)
  expect(counts['unknown']!).toBeGreaterThan(20)
  expect(fixture.permits.held.size).toEqual(0)
  await fixture.close()
  worker.close()
})

test('after arbitrary bytes from a worker its caller gets an outcome and the front serves the next request', async () => {
  let respond: (socket: Socket) => void = () => {}
  const worker = await RawWorker.start(socket => { respond(socket) })
  const fixture = await startFront([worker.address], { rules: () => sampleRules({}, 300) })
  const piece = fc.oneof(
    fc.constantFrom('HTTP/1.1 200 OK\r\n', 'HTTP/1.1 100 Continue\r\n\r\n', 'HTTP/1.1 101 Switching Protocols\r\n', 'content-length: 3\r\n', 'transfer-encoding: chunked\r\n', '\r\n', 'abc', '3\r\nabc\r\n', '0\r\n\r\n', 'connection: upgrade\r\nupgrade: x\r\n', 'HTTP/1.1 204 No\r\n'),
    fc.string({ unit: 'binary', maxLength: 20 })
  )
  await fc.assert(fc.asyncProperty(fc.array(piece, { maxLength: 8 }), async pieces => {
    respond = socket => { socket.end(Buffer.from(pieces.join(''), 'latin1')) }
    const text = await call(fixture.address.port)
    expect(text.match(/rattanstep-outcome: (run|unknown)\r\n/g)?.length).toEqual(1)
    respond = socket => { socket.end(ANSWERS[0]!) }
    expect(classifyResponse(await call(fixture.address.port))).toEqual('whole')
  }), { seed: SEED, numRuns: 200 })
  expect(fixture.permits.held.size).toEqual(0)
  expect(fixture.log.lines.filter(line => line.event.level === 'error')).toEqual([])
  await fixture.close()
  worker.close()
})
