import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import type { Address } from '@rattanstep/core'

/** A TCP relay whose open connections can be made silent. */
export interface Relay {
  address: Address
  /** Connections open now carry nothing any more and stay open; new ones work. Returns how many there were. */
  silence: () => number
  close: () => void
}

/**
 * @param target - where connections are relayed to
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
