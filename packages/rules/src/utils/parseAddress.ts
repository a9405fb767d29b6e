import type { Address } from '@rattanstep/core'
import { z } from 'zod'

const MAX_PORT = 65_535

/**
 * @param text - text such as `127.0.0.1:7070`
 * @param minPort - smallest port that is allowed (default 1)
 * @returns the address, or `null` if the text is not an IP address with a port in range
 */
export function parseAddress (text: string, minPort = 1): Address | null {
  const match = /^(?:\[([0-9a-fA-F:.]{2,45})\]|([0-9.]{7,15})):(\d{1,5})$/.exec(text)
  if (match === null) return null
  const host = match[1] ?? match[2]!
  const port = Number(match[3])
  const hostSchema = match[1] === undefined ? z.ipv4() : z.ipv6()
  if (!hostSchema.safeParse(host).success) return null
  return port >= minPort && port <= MAX_PORT ? { host, port } : null
}
