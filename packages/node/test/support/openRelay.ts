import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import type { Address } from '@rattanstep/core'

/** TCP relay that can stop forwarding data on its open connections. */
export interface Relay {
  address: Address
  /**
   * Stops forwarding data on the open connections without closing them. New connections work.
   *
   * @returns number of silenced connections
   */
  silence: () => number
  /** Stops the relay and closes its connections. */
  close: () => void
}

/**
 * Starts a relay.
 *
 * @param target - address that connections are forwarded to
 * @returns the relay
 */
export async function openRelay (target: Address): Promise<Relay> {
  const open = new Set<Socket>()
  const silent = new Set<Socket>()
  const server = createServer(socket => {
    const out = connect(target.port, target.host)
    for (const [from, to] of [[socket, out], [out, socket]] as const) {
      open.add(from)
      from.on('data', bytes => { if (!silent.has(from)) to.write(bytes) })
      from.on('error', () => {})
      from.on('close', () => {
        open.delete(from)
        if (!silent.has(from)) to.destroy()
      })
    }
  })
  await new Promise<void>(resolve => server.listen(0, target.host, resolve))
  const { port } = server.address() as { port: number }
  return {
    address: { host: target.host, port },
    silence: () => {
      for (const socket of open) silent.add(socket)
      return open.size / 2
    },
    close: () => {
      server.close()
      for (const socket of open) socket.destroy()
    }
  }
}
