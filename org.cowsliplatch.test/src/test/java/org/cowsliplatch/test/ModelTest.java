package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertWithMessage;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the Alloy models, and that the checker finds a counterexample when a rule is removed. */
final class ModelTest {
    private static String model(String name) throws IOException {
        try (InputStream in = ModelTest.class.getResourceAsStream("/models/" + name + ".als")) {
            if (in == null) {
                throw new IOException("there is no model " + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Returns the labels of the commands that are satisfiable; for a check, that is a counterexample. */
    private static List<String> satisfiable(String text, boolean selectChecks) {
        Module module = CompUtil.parseEverything_fromString(A4Reporter.NOP, text);
        A4Options options = new A4Options();
        List<String> found = new ArrayList<>();
        for (Command command : module.getAllCommands()) {
            if (command.check != selectChecks) {
                continue;
            }
            var solution = TranslateAlloyToKodkod.execute_command(
                    A4Reporter.NOP, module.getAllReachableSigs(), command, options);
            if (solution.satisfiable()) {
                found.add(command.label);
            }
        }
        return found;
    }

    @ParameterizedTest
    @ValueSource(strings = {"once", "tables", "lease"})
    void thereIsNoCounterexampleAndTheTargetStateIsReachable(String name) throws IOException {
        assertWithMessage("counterexamples")
                .that(satisfiable(model(name), true))
                .isEmpty();
        assertWithMessage("reached").that(satisfiable(model(name), false)).containsExactly("Reached");
    }

    @ParameterizedTest
    @CsvSource({
        "once,record",
        "once,window",
        "once,tombstone",
        "once,freeze",
        "once,keep",
        "tables,forward",
        "tables,condition",
        "tables,rise",
        "tables,peer",
        "lease,wait",
        "lease,condition",
        "lease,expire",
    })
    void removingARuleGivesACounterexample(String name, String rule) throws IOException {
        String text = model(name);
        String marker = "// rule: " + rule;
        String mutated = text.lines()
                .map(line -> line.endsWith(marker) ? replacement(rule) : line)
                .reduce("", (a, b) -> a + b + "\n");

        assertWithMessage("the rule stands in the model").that(mutated).isNotEqualTo(text);
        assertWithMessage("counterexamples without rule " + rule)
                .that(satisfiable(mutated, true))
                .isNotEmpty();
    }

    /** Returns the line that replaces a rule: empty, or an unsafe variant of the rule. */
    private static String replacement(String rule) {
        return switch (rule) {
            case "tombstone" -> "  rec' = rec - e -> c.key -> Record";
            case "freeze" -> "  Holding' = Holding + Successor";
            case "expire" -> "    h.left' = h.left";
            default -> "";
        };
    }
}
