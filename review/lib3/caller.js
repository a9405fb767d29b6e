import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

const agent = new Agent({ keepAlive: true, maxSockets: 64 })

/**
 * Sends a request of a consumer.
 *
 * @returns `{ status, body, retryAfter }`; status 0 if there was no answer
 */
export async function call (address, { method, path, host, body, timeout = 3000, isOwnChannel = false }) {
  const [hostname, port] = address.split(':')
  return await new Promise(resolve => {
    const text = body === undefined ? undefined : JSON.stringify(body)
    const headers = { host, 'deadline-ms': String(timeout), ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }) }
    const sent = request({ hostname, port, method, path, headers, agent: isOwnChannel ? false : agent }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('error', () => resolve({ status: 0 }))
      response.on('end', () => {
        const answer = Buffer.concat(chunks).toString('utf8')
        resolve({ status: response.statusCode, body: answer === '' ? undefined : JSON.parse(answer), retryAfter: Number(response.headers['retry-after'] ?? 0) })
      })
    })
    sent.on('error', () => resolve({ status: 0 }))
    sent.setTimeout(timeout + 500, () => sent.destroy())
    sent.end(text)
  })
}

/** Sends a request until it is answered with 2xx, 404 or 410, at one node after the other. */
export async function callUntilDone (nodes, options, until = performance.now() + 20_000) {
  let last
  for (let attempt = 0; performance.now() < until; attempt++) {
    const node = nodes[Math.floor(Math.random() * nodes.length)]
    last = await call(node.callers, options)
    if ((last.status >= 200 && last.status < 300) || last.status === 404 || last.status === 410 || last.status === 400) return last
    await sleep(Math.max(100, 1000 * (last.retryAfter ?? 0)))
  }
  return last
}

export function newId () {
  return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('')
}
