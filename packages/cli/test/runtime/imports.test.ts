import { readdirSync, readFileSync } from 'node:fs'
import { builtinModules } from 'node:module'
import { join } from 'node:path'
import { describe, test } from 'node:test'
import { fileURLToPath } from 'node:url'
import { expect } from 'earl'

/** Packages that only make decisions and must not depend on a transport. */
const DECISION_PACKAGES = ['policy', 'rules', 'core']
const TRANSPORT = /^(?:node:)?(?:http|https|http2|net|tls|dgram|fs|fs\/promises)$|^undici$|^@grpc\//
/** Libraries that the tests of every package may import. */
const TEST_TOOLS = ['earl', 'fast-check']
const SPECIFIER = /(?:^|\n)\s*(?:import|export)\s(?:[^'"\n]|\n(?!\s*(?:import|export)\s))*?from\s+'([^']+)'|\bimport\s*\(\s*'([^']+)'\s*\)|(?:^|\n)import\s+'([^']+)'/g

const packages = fileURLToPath(new URL('../../../../', import.meta.url))
const names = readdirSync(packages)

interface Manifest {
  name: string
  dependencies?: Record<string, string>
  devDependencies?: Record<string, string>
}

function manifest (name: string): Manifest {
  return JSON.parse(readFileSync(join(packages, name, 'package.json'), 'utf8')) as Manifest
}

/** All imports of the files under a folder that lead out of their package. */
function imports (folder: string): Array<{ file: string, specifier: string }> {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter(file => file.endsWith('.ts'))
    .flatMap(file => [...readFileSync(join(folder, file), 'utf8').matchAll(SPECIFIER)]
      .map(match => ({ file: join(folder, file).slice(packages.length), specifier: (match[1] ?? match[2] ?? match[3])! }))
      .filter(({ specifier }) => !specifier.startsWith('.')))
}

function packageOf (specifier: string): string {
  return specifier.split('/').slice(0, specifier.startsWith('@') ? 2 : 1).join('/')
}

function isBuiltin (specifier: string): boolean {
  return specifier.startsWith('node:') || builtinModules.includes(specifier)
}

describe('imports', () => {
  for (const name of names) {
    const allowed = Object.keys(manifest(name).dependencies ?? {})

    test(`${name} imports only the dependencies that its package.json lists`, () => {
      const unknown = imports(join(packages, name, 'src')).filter(({ specifier }) => !isBuiltin(specifier) && !allowed.includes(packageOf(specifier)))
      expect(unknown).toEqual([])
    })

    const tools = [...allowed, ...Object.keys(manifest(name).devDependencies ?? {}), ...TEST_TOOLS]
    test(`tests of ${name} import only dependencies that its package.json lists and the test tools`, () => {
      const folder = join(packages, name, 'test')
      const found = readdirSync(join(packages, name)).includes('test') ? imports(folder) : []
      const unknown = found.filter(({ specifier }) => !isBuiltin(specifier) && !tools.includes(packageOf(specifier)))
      expect(unknown).toEqual([])
    })
  }

  for (const name of DECISION_PACKAGES) {
    test(`${name} imports no transport`, () => {
      expect(imports(join(packages, name, 'src')).filter(({ specifier }) => TRANSPORT.test(specifier))).toEqual([])
    })
  }

  test('form no cycle between packages', () => {
    const remaining = new Map(names.map(name => {
      const { name: own, dependencies } = manifest(name)
      return [own, Object.keys(dependencies ?? {}).filter(other => other.startsWith('@rattanstep/'))]
    }))
    for (let size = -1; size !== remaining.size;) {
      size = remaining.size
      for (const [name, needs] of remaining) {
        if (!needs.some(other => remaining.has(other))) remaining.delete(name)
      }
    }
    expect([...remaining.keys()]).toEqual([])
  })

  test('are found in the forms that the code uses', () => {
    expect(imports(join(packages, 'rules', 'src')).map(({ specifier }) => specifier)).toEqual(expect.includes('yaml'))
    expect(imports(join(packages, 'cli', 'src')).map(({ specifier }) => specifier)).toEqual(expect.includes('undici', '@rattanstep/front', 'clipanion', 'node:fs/promises'))
  })
})
