import { createServer, request } from 'node:http'

/**
 * Serves JSON over HTTP.
 *
 * @param {{ host: string, port: number }} address
 * @param {(call: { method: string, path: string, query: URLSearchParams, body: any, headers: object, socket: import('node:net').Socket }) => any} handle
 * returns `{ status, body }`, or `undefined` to leave the call unanswered
 */
export async function serveJson ({ host, port }, handle) {
  const server = createServer((incoming, response) => {
    const chunks = []
    incoming.on('error', () => {})
    incoming.on('data', chunk => { chunks.push(chunk) })
    incoming.on('end', async () => {
      const url = new URL(incoming.url, 'http://stand-in')
      const text = Buffer.concat(chunks).toString('utf8')
      const reply = await handle({ method: incoming.method, path: url.pathname, query: url.searchParams, body: text === '' ? undefined : JSON.parse(text), headers: incoming.headers, socket: incoming.socket })
      if (reply === undefined || response.destroyed) return
      const body = reply.body === undefined ? '' : JSON.stringify(reply.body)
      response.writeHead(reply.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
      response.end(body)
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve, reject) => { server.once('error', reject).listen(port, host, resolve) })
  return server
}

/**
 * Sends one call on a connection of its own.
 *
 * @returns `{ status, body }`; status 0 if there was no answer in time
 */
export async function call (address, { method, path, headers = {}, body, timeout = 3000 }) {
  const [host, port] = address.split(':')
  const text = body === undefined ? undefined : JSON.stringify(body)
  return await new Promise(resolve => {
    const outgoing = request({ host, port, method, path, agent: false, headers: { ...headers, ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }) } }, response => {
      const chunks = []
      response.on('data', chunk => { chunks.push(chunk) })
      response.on('end', () => { finish({ status: response.statusCode, body: Buffer.concat(chunks).toString('utf8') }) })
      response.on('error', () => { finish({ status: 0, body: '' }) })
    })
    const timer = setTimeout(() => {
      finish({ status: 0, body: '' })
      outgoing.destroy()
    }, timeout)
    const finish = result => {
      clearTimeout(timer)
      resolve(result)
    }
    outgoing.on('error', () => { finish({ status: 0, body: '' }) })
    outgoing.end(text)
  })
}
