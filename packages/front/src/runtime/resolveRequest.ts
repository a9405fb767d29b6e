import { Err, hash64, Ok } from '@rattanstep/core'
import type { Result } from '@rattanstep/core'
import type { ResolvedClass, ResolvedRoute, ResolvedRules } from '@rattanstep/rules'
import type { ResolvedRequest } from '../types/ResolvedRequest.js'
import type { HeaderList } from '../types/run.js'
import { readFirstSent } from './readFirstSent.js'
import { matchRoute } from '@rattanstep/rules'

/** Head of a request as it was received. */
export interface RequestHead {
  id: string
  method: string
  url: string
  headers: HeaderList
  /** Remote address of the caller. */
  remote: string
}

/** Why a request's head is rejected. */
export interface HeadFault {
  status: number
  code: string
  detail: string
}

/** Methods that RFC 9110, section 9.2.1, calls safe. */
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE'])

const MAX_KEY_BYTES = 255
const MAX_CALLER_NAME_LENGTH = 128
const WHOLE_NUMBER = /^\d{1,9}$/

/**
 * Checks a request's head, finds its route and class in the rules, and fills in every value that the head leaves out.
 *
 * @param head - head of the request
 * @param rules - rules in force
 * @returns the resolved request, or why its head is rejected
 */
export function resolveRequest (head: RequestHead, rules: ResolvedRules): Result<ResolvedRequest, HeadFault> {
  const fields = new Map(head.headers.map(([name, value]) => [name.toLowerCase(), value]))
  const fault = checkHead(head, rules, fields)
  if (fault !== null) return Err(fault)
  const path = originForm(head.url)
  if (path === null) return Err(badTargetFault(head.url))
  const route = matchRoute(rules, head.method, path)
  if (route === null) return Err(noRouteFault(head.method, path))
  const requestClass = rules.classes.find(candidate => candidate.name === route.class)
  if (requestClass === undefined) return Err(noRouteFault(head.method, path))
  return Ok(buildRequest({ head, rules, fields, path, route, requestClass }))
}

/**
 * Determines the name by which a caller is counted and gets its fair share of a class: a hash of its credentials, the
 * name that it gives, or its address.
 *
 * @param headers - header fields of the request
 * @param remote - remote address of the caller
 * @returns a name that reveals no secret
 */
export function callerOf (headers: HeaderList, remote: string): string {
  const fields = new Map(headers.map(([name, value]) => [name.toLowerCase(), value]))
  const credentials = credentialsOf(fields)
  if (credentials !== '') return `key:${credentials}`
  const named = fields.get('rattanstep-caller')
  return named === undefined ? remote : `name:${named.slice(0, MAX_CALLER_NAME_LENGTH)}`
}

function credentialsOf (fields: Map<string, string>): string {
  const authorization = fields.get('authorization')
  return authorization === undefined ? '' : hash64(authorization)
}

interface RequestParts {
  head: RequestHead
  rules: ResolvedRules
  fields: Map<string, string>
  path: string
  route: ResolvedRoute
  requestClass: ResolvedClass
}

function buildRequest ({ head, rules, fields, path, route, requestClass }: RequestParts): ResolvedRequest {
  const maxTimeout = requestClass.patience + requestClass.bound
  const requestedTimeout = fields.get('rattanstep-timeout')
  const key = fields.get('idempotency-key') ?? ''
  return {
    id: head.id,
    method: head.method,
    path,
    headers: head.headers,
    class: requestClass,
    route,
    limits: rules.limits,
    idempotent: SAFE_METHODS.has(head.method) || route.idempotent,
    caller: callerOf(head.headers, head.remote),
    credentials: credentialsOf(fields),
    team: fields.get('rattanstep-team') ?? '',
    timeout: requestedTimeout === undefined ? maxTimeout : Math.min(maxTimeout, Number(requestedTimeout)),
    key: SAFE_METHODS.has(head.method) ? '' : key,
    firstSent: readFirstSent(key, fields.get('rattanstep-first-sent')) ?? 0
  }
}

function checkHead (head: RequestHead, rules: ResolvedRules, fields: Map<string, string>): HeadFault | null {
  const size = head.headers.reduce((sum, [name, value]) => sum + name.length + value.length, head.url.length)
  if (size > rules.limits.header) return fault(431, 'header-too-large', `the header has ${size} bytes; at most ${rules.limits.header} are taken; send fewer or shorter fields`)
  if (!fields.has('host')) return fault(400, 'no-host', 'no Host field was given; send one')
  const timeout = fields.get('rattanstep-timeout')
  if (timeout !== undefined && !WHOLE_NUMBER.test(timeout)) return fault(400, 'bad-timeout', `rattanstep-timeout is '${timeout}'; give a whole number of milliseconds`)
  const key = fields.get('idempotency-key')
  if (key !== undefined && (key === '' || key.length > MAX_KEY_BYTES)) return fault(400, 'bad-key', `Idempotency-Key has ${key.length} bytes; give 1 to ${MAX_KEY_BYTES}`)
  if (readFirstSent(key ?? '', fields.get('rattanstep-first-sent')) === null) return fault(400, 'bad-first-sent', 'rattanstep-first-sent is no whole number; give the milliseconds since 1970 at which the request was first sent')
  return null
}

function originForm (url: string): string | null {
  if (url.startsWith('/')) return url
  const absolute = /^https?:\/\/[^/?#]+(.*)$/i.exec(url)
  if (absolute === null) return null
  const rest = absolute[1]!
  return rest.startsWith('/') ? rest : `/${rest}`
}

function badTargetFault (url: string): HeadFault {
  return fault(400, 'bad-target', `the request target is '${url.slice(0, 80)}'; give a path that starts with /`)
}

function noRouteFault (method: string, path: string): HeadFault {
  return fault(404, 'no-route', `no rule takes ${method} ${path.slice(0, 200)}; add a route to the rules or mend the path`)
}

function fault (status: number, code: string, detail: string): HeadFault {
  return { status, code, detail }
}
