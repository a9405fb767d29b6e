import { createServer, request } from 'node:http'

/** @returns as many different ports as asked for that are free on an address */
export async function findFreePorts (host, count) {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer()
    await new Promise((resolve, reject) => { server.once('error', reject).listen(0, host, resolve) })
    return server
  }))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(async server => { await new Promise(resolve => { server.close(resolve) }) }))
  return ports
}

/** Leaves a call unanswered. */
export const SILENCE = Symbol('silence')

/**
 * Serves JSON over HTTP on a loopback address.
 *
 * @param handle - returns `{ status, body }`, or `SILENCE`; if it throws, the connection is reset
 * @returns `address`, and `close`
 */
export async function serveJson (handle, host, port = 0) {
  const server = createServer((call, response) => {
    const url = new URL(call.url, 'http://stand-in')
    readBody(call)
      .then(text => handle({ method: call.method, path: url.pathname, query: url.searchParams, body: text === '' ? {} : JSON.parse(text), headers: call.headers }))
      .then(reply => {
        if (reply === SILENCE) return
        response.writeHead(reply.status, { 'content-type': 'application/json' })
        response.end(reply.body === undefined ? '' : JSON.stringify(reply.body))
      }).catch(() => { response.destroy() })
  })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve, reject) => { server.once('error', reject).listen(port, host, resolve) })
  return {
    address: `${host}:${server.address().port}`,
    close: async () => {
      server.closeAllConnections()
      await new Promise(resolve => { server.close(resolve) })
    }
  }
}

async function readBody (call) {
  const chunks = []
  for await (const chunk of call) chunks.push(chunk)
  return Buffer.concat(chunks).toString('utf8')
}

/**
 * Sends one request of a consumer.
 *
 * @returns `status`, 0 if there was no complete answer, and the body
 */
export async function send (address, { method, path, host, body, timeout = 3000, patience = timeout }) {
  const [hostname, port] = address.split(':')
  return await new Promise(resolve => {
    const call = request({ hostname, port, method, path, agent: false, headers: { host, 'deadline-ms': String(timeout), ...(body === undefined ? {} : { 'content-type': 'application/json' }) } }, response => {
      readBody(response).then(text => { resolve({ status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) }) }, () => { resolve({ status: 0 }) })
    })
    const timer = setTimeout(() => { call.destroy() }, patience)
    call.on('error', () => { resolve({ status: 0 }) })
    call.on('close', () => { clearTimeout(timer) })
    call.end(body === undefined ? undefined : JSON.stringify(body))
  })
}
