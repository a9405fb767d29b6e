/** How a stand-in worker answers a request. */
export interface EchoOptions {
  /** Milliseconds until the answer is sent. */
  delay: number
  /** Size of the response body in bytes; `null` echoes the request. */
  bodySize: number | null
  /** Bytes of the body after which the connection is closed; `null` sends the whole body. */
  cutAfter: number | null
  /** Whether the request is never answered. */
  hangs: boolean
  /** HTTP status of the response. */
  status: number
}

const HTTP_OK = 200
const HTTP_ERROR = 500
const MAX_BODY_BYTES = 256 * 1024 * 1024
const MIN_STATUS = 200
const MAX_STATUS = 599

/**
 * Parses the options from headers `echo-time`, `echo-size`, `echo-cut`, `echo-hang`, `echo-fail`, `echo-status`, or from
 * query parameters `time`, `size`, `cut`, `hang`, `fail`, `status`.
 *
 * @param headers - headers with lower-case names
 * @param query - query parameters
 * @returns the options; an invalid value is replaced by its default
 */
export function parseEchoOptions (headers: Record<string, string | string[] | undefined>, query: URLSearchParams): EchoOptions {
  const readText = (name: string): string | null => {
    const header = headers[`echo-${name}`]
    return typeof header === 'string' ? header : query.get(name)
  }
  const readNumber = (name: string, max: number): number | null => {
    const value = Number(readText(name) ?? NaN)
    return value >= 0 && value <= max ? value : null
  }
  const status = readNumber('status', MAX_STATUS)
  return {
    delay: readNumber('time', Number.MAX_SAFE_INTEGER) ?? 0,
    bodySize: readNumber('size', MAX_BODY_BYTES),
    cutAfter: readNumber('cut', MAX_BODY_BYTES),
    hangs: isSet(readText('hang')),
    status: isSet(readText('fail')) ? HTTP_ERROR : status !== null && status >= MIN_STATUS ? status : HTTP_OK
  }
}

function isSet (value: string | null): boolean {
  return value !== null && value !== '0' && value !== 'false'
}
