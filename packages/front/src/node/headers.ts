import type { HeaderList } from '../types/run.js'

/**
 * Selects the header fields that are forwarded from one hop to the next (RFC 9110, section 7.6.1).
 */

const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect'
])

/** Fields that only the front may set. */
const FRONT_FIELDS = new Set(['rattanstep-outcome', 'rattanstep-request'])

/** Fields that are not allowed as trailers (RFC 9110, section 6.5.1). */
const FORBIDDEN_TRAILERS = new Set(['content-length', 'content-encoding', 'content-type', 'content-range', 'host', 'set-cookie', 'authorization'])

/**
 * @param raw - names and values, alternating, as Node.js provides them
 * @returns pairs of name and value
 */
export function pairHeaders (raw: ReadonlyArray<string | Buffer>): HeaderList {
  const pairs: HeaderList = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    pairs.push([decode(raw[index]!), decode(raw[index + 1]!)])
  }
  return pairs
}

/**
 * Removes the fields that belong to a single connection, and those that only the front may set.
 *
 * @param headers - fields of a request or an answer
 * @returns the fields to forward
 */
export function endToEnd (headers: HeaderList): HeaderList {
  const connectionFields = connectionOptions(headers)
  return headers.filter(([name]) => {
    const key = name.toLowerCase()
    return !HOP_BY_HOP.has(key) && !connectionFields.has(key) && !FRONT_FIELDS.has(key)
  })
}

/**
 * @param trailers - fields after a body
 * @returns the fields that are forwarded as trailers
 */
export function allowedTrailers (trailers: HeaderList): HeaderList {
  return endToEnd(trailers).filter(([name]) => !FORBIDDEN_TRAILERS.has(name.toLowerCase()))
}

/**
 * @param headers - header fields
 * @param name - name of the field in lower case
 * @returns the first value of the field, or `undefined` when there is none
 */
export function headerValue (headers: HeaderList, name: string): string | undefined {
  return headers.find(([key]) => key.toLowerCase() === name)?.[1]
}

function connectionOptions (headers: HeaderList): Set<string> {
  const options = new Set<string>()
  for (const [name, value] of headers) {
    if (name.toLowerCase() !== 'connection') continue
    for (const option of value.split(',')) options.add(option.trim().toLowerCase())
  }
  return options
}

function decode (value: string | Buffer): string {
  return typeof value === 'string' ? value : value.toString('latin1')
}
