package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TablesInvalidException;
import org.cowsliplatch.internal.steer.RouteMatcher;
import org.cowsliplatch.table.Route;
import org.cowsliplatch.table.TableFiles;
import org.cowsliplatch.table.TableParser;
import org.cowsliplatch.table.TableProblem;
import org.cowsliplatch.table.Tables;
import org.cowsliplatch.table.TablesDiff;
import org.junit.jupiter.api.Test;

/** Parsing and validation of table files, matching of routes, and differences between tables. */
final class TablesTest {
    private static final String ROUTES = "name,host,path,methods,rank,idempotent,pool,timeout\n";
    private static final String POOLS = "name,service,slots,regions,ramp,queue\n";
    private static final String POOL = "cases,case-lookup,3,svealand=100,10s,100\n";

    private static Tables parse(String routes, String pools) throws TableException {
        return TableParser.parse(
                TableFiles.rows(ROUTES + routes, "routes"),
                TableFiles.rows(POOLS + pools, "pools"),
                List.of("svealand", "gotaland"));
    }

    private static List<TableProblem> problems(String routes, String pools) {
        return assertThrows(TablesInvalidException.class, () -> parse(routes, pools))
                .problems();
    }

    @Test
    void examplesAreValidAndSurviveWriteAndRead(@org.junit.jupiter.api.io.TempDir Path folder) throws TableException {
        for (String user : List.of("nordvik", "ritagli")) {
            Tables tables = TableFiles.read(Path.of("..", "examples", user), List.of());
            TableFiles.write(folder.resolve(user), tables);

            assertThat(TableFiles.read(folder.resolve(user), List.of())).isEqualTo(tables);
        }
    }

    @Test
    void problemsNameTableLineColumnAndNearestValue() {
        List<TableProblem> problems = problems(
                "a,*,/a,GET,lokup,yes,cases,2s\n# a comment\nb,*,b,FETCH,lookup,maybe,case,never\n",
                "cases,case-lookup,0,svealnd=100,10s,100\n");

        List<String> texts = problems.stream().map(TableProblem::text).toList();
        assertThat(texts)
                .containsExactly(
                        "pools line 2 (cases), column slots: 0 is out of range; the nearest allowed value is 1",
                        "pools line 2 (cases), column regions: there is no region 'svealnd'; did you mean svealand?",
                        "routes line 2 (a), column rank: unknown rank 'lokup'; write urgent, lookup or upload",
                        "routes line 4 (b), column path: 'b' is no path prefix; write a path such as /cases",
                        "routes line 4 (b), column methods: unknown method 'FETCH'; did you mean PATCH?",
                        "routes line 4 (b), column idempotent: 'maybe' is neither yes nor no; write yes or no",
                        "routes line 4 (b), column pool: there is no 'case'; did you mean cases?",
                        "routes line 4 (b), column timeout: 'never' is no duration; write a number and a unit: 250ms, 5s, 2m");
    }

    @Test
    void unknownColumnsAndDuplicatesAreRejected() {
        TablesInvalidException columns = assertThrows(
                TablesInvalidException.class,
                () -> TableParser.parse(
                        TableFiles.rows("name,hosts\nx,y\n", "routes"),
                        TableFiles.rows(POOLS + POOL, "pools"),
                        List.of()));
        assertThat(columns.text()).contains("column hosts: unknown column; did you mean host?");

        List<TableProblem> duplicates =
                problems("a,*,/a,GET,lookup,yes,cases,2s\na,*,/a,GET,lookup,yes,cases,2s\n", POOL);
        assertThat(duplicates.get(0).what()).contains("'a' stands twice");
        assertThat(duplicates.get(1).what()).contains("same host, path and GET");
    }

    @Test
    void rowWithTooFewCellsIsReportedWithItsLine() {
        assertThat(problems("a,*,/a\n", POOL).get(0).text()).contains("routes line 2: has 3 cells under 8 columns");
    }

    @Test
    void namedHostAndLongerPathTakePrecedence() throws TableException {
        Tables tables = parse(
                "any,*,/,GET,lookup,yes,cases,2s\nshort,a.example,/x,GET,lookup,yes,cases,2s\n"
                        + "long,a.example,/x/y,GET,lookup,yes,cases,2s\n",
                POOL);
        RouteMatcher matcher = new RouteMatcher(tables);

        assertThat(matcher.match("a.example", "GET", "/x/y/z").map(Route::name)).isEqualTo(Optional.of("long"));
        assertThat(matcher.match("a.example", "GET", "/xy").map(Route::name)).isEqualTo(Optional.of("any"));
        assertThat(matcher.match("b.example", "GET", "/x").map(Route::name)).isEqualTo(Optional.of("any"));
        assertThat(matcher.match("a.example", "PUT", "/x")).isEmpty();
    }

    @Test
    void diffListsAddedChangedAndRemovedRows() throws TableException {
        Tables before = parse("a,*,/a,GET,lookup,yes,cases,2s\nb,*,/b,GET,lookup,yes,cases,2s\n", POOL);
        Tables after = parse("a,*,/a,GET,urgent,yes,cases,2s\nc,*,/c,GET,lookup,yes,cases,2s\n", POOL);

        assertThat(TablesDiff.between(before, after).text().lines().toList())
                .containsExactly(
                        "~ routes/a rank: lookup -> urgent",
                        "- routes/b",
                        "+ routes/c {name=c, host=*, path=/c, methods=GET, rank=lookup, idempotent=yes, pool=cases,"
                                + " timeout=2s}")
                .inOrder();
    }

    @Property(tries = 500, seed = "42")
    void anyTextIsParsedOrRejectedWithProblem(@ForAll @StringLength(max = 200) String text) {
        try {
            parse(text, POOL);
        } catch (TableException e) {
            assertThat(e.text()).isNotEmpty();
        }
    }
}
